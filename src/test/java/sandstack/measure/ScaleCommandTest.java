package sandstack.measure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Shape;

/** The command {@code measure scale} with measurements that return fixed values. */
class ScaleCommandTest {
    @TempDir
    Path folder;

    private final StringWriter output = new StringWriter();

    /** Returns one series with these three values, at 50, 100 and 200 relays. */
    private record FixedMeasurement(String name, String id, double... values) implements ScaleMeasurement {
        @Override
        public List<Series> measure(Effort effort) {
            List<Series.Point> points = List.of(
                    new Series.Point(50, values[0]),
                    new Series.Point(100, values[1]),
                    new Series.Point(200, values[2]));
            String method = "fixed values, " + effort;
            return List.of(
                    new Series(id, Role.RELAY_CONTROL, Resource.NETWORK, "bytes a second", "relays", method, points));
        }
    }

    private static final ScaleMeasurement FAILING = new ScaleMeasurement() {
        @Override
        public String name() {
            return "failing";
        }

        @Override
        public List<Series> measure(Effort effort) throws IOException {
            throw new IOException("no space\nleft");
        }
    };

    private int run(List<ScaleMeasurement> measurements, String... arguments) {
        return new CommandLine(new ScaleCommand(measurements))
                .setOut(new PrintWriter(output))
                .setErr(new PrintWriter(output))
                .execute(arguments);
    }

    private ScaleReport readReport(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), ScaleReport.class);
    }

    @Test
    void eachSeriesIsFittedAndExtrapolated() throws IOException {
        Path json = folder.resolve("r.json");

        int exit = run(
                List.of(new FixedMeasurement("list", "list.bytes", 150, 250, 450)),
                "--quick",
                "--json",
                json.toString());

        assertThat(exit).isZero();
        assertThat(output.toString()).containsPattern("list\\.bytes +LINEAR +0\\.00% +11\\.3 KB a second");
        ScaleReport report = readReport(json);
        assertThat(report.command()).isEqualTo("measure scale --quick");
        assertThat(report.effort()).isEqualTo(ScaleMeasurement.Effort.QUICK);
        assertThat(report.results()).hasSize(1);
        assertThat(report.results().get(0).fit().shape()).isEqualTo(Shape.LINEAR);
        assertThat(report.results().get(0).series().points()).hasSize(3);
    }

    @Test
    void failedMeasurementIsReportedAndTheOthersStillRun() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all = List.of(FAILING, new FixedMeasurement("list", "list.bytes", 150, 250, 450));

        assertThat(run(all, "--json", json.toString())).isEqualTo(1);

        assertThat(output.toString()).contains("FAILED failing: java.io.IOException: no space");
        assertThat(readReport(json).failures()).hasSize(1);
        assertThat(readReport(json).results()).hasSize(1);
    }

    @Test
    void secondSeriesWithTheSameIdIsAFailure() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all =
                List.of(new FixedMeasurement("one", "x", 1, 1, 1), new FixedMeasurement("other", "x", 2, 2, 2));

        assertThat(run(all, "--json", json.toString())).isEqualTo(1);
        assertThat(readReport(json).failures().get(0).measurement()).isEqualTo("other");
    }

    @Test
    void onlyTheSelectedMeasurementRuns() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all = List.of(FAILING, new FixedMeasurement("list", "list.bytes", 150, 250, 450));

        assertThat(run(all, "--only", "list", "--json", json.toString())).isZero();
        assertThat(readReport(json).command()).isEqualTo("measure scale --only list");
        assertThat(run(all, "--only", "nothing")).isEqualTo(2);
        assertThat(output.toString()).contains("unknown measurement nothing; choose one of failing, list");
    }

    @Test
    void noMeasurementRunsIfTheReportCannotBeWritten() {
        Path json = folder.resolve("none/r.json");

        assertThat(run(List.of(FAILING), "--json", json.toString())).isEqualTo(2);
        assertThat(Files.exists(json)).isFalse();
    }
}
