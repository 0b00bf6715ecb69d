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

/** The command {@code measure scale} with measurements of known values. */
class ScaleCommandTest {
    @TempDir
    Path folder;

    private final StringWriter said = new StringWriter();

    /** Yields one series with these values at 50, 100 and 200 relays. */
    private record Known(String name, String id, double... values) implements ScaleMeasurement {
        @Override
        public List<Series> measure(Effort effort) {
            List<Series.Point> points = List.of(
                    new Series.Point(50, values[0]),
                    new Series.Point(100, values[1]),
                    new Series.Point(200, values[2]));
            String method = "known values, " + effort;
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
            throw new IOException("no room\nat all");
        }
    };

    private int run(List<ScaleMeasurement> measurements, String... words) {
        return new CommandLine(new ScaleCommand(measurements))
                .setOut(new PrintWriter(said))
                .setErr(new PrintWriter(said))
                .execute(words);
    }

    private ScaleReport report(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), ScaleReport.class);
    }

    @Test
    void eachSeriesIsFittedAndExtrapolated() throws IOException {
        Path json = folder.resolve("r.json");

        int exit = run(List.of(new Known("list", "list.bytes", 150, 250, 450)), "--quick", "--json", json.toString());

        assertThat(exit).isZero();
        assertThat(said.toString()).containsPattern("list\\.bytes +LINEAR +0\\.00% +11\\.3 KB a second");
        ScaleReport report = report(json);
        assertThat(report.command()).isEqualTo("measure scale --quick");
        assertThat(report.effort()).isEqualTo(ScaleMeasurement.Effort.QUICK);
        assertThat(report.results()).hasSize(1);
        assertThat(report.results().get(0).fit().shape()).isEqualTo(Shape.LINEAR);
        assertThat(report.results().get(0).series().points()).hasSize(3);
    }

    @Test
    void oneThatFailsIsToldAndTheOthersStillCount() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all = List.of(FAILING, new Known("list", "list.bytes", 150, 250, 450));

        assertThat(run(all, "--json", json.toString())).isEqualTo(1);

        assertThat(said.toString()).contains("FAILED failing: java.io.IOException: no room");
        assertThat(report(json).failures()).hasSize(1);
        assertThat(report(json).results()).hasSize(1);
    }

    @Test
    void twoSeriesOfOneNameAreAFailure() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all = List.of(new Known("one", "x", 1, 1, 1), new Known("other", "x", 2, 2, 2));

        assertThat(run(all, "--json", json.toString())).isEqualTo(1);
        assertThat(report(json).failures().get(0).measurement()).isEqualTo("other");
    }

    @Test
    void oneMeasurementCanBeChosen() throws IOException {
        Path json = folder.resolve("r.json");
        List<ScaleMeasurement> all = List.of(FAILING, new Known("list", "list.bytes", 150, 250, 450));

        assertThat(run(all, "--only", "list", "--json", json.toString())).isZero();
        assertThat(report(json).command()).isEqualTo("measure scale --only list");
        assertThat(run(all, "--only", "nothing")).isEqualTo(2);
        assertThat(said.toString()).contains("no scale measurement is called nothing; there are failing, list");
    }

    @Test
    void whereNothingCanBeWrittenNothingIsMeasured() {
        Path json = folder.resolve("none/r.json");

        assertThat(run(List.of(FAILING), "--json", json.toString())).isEqualTo(2);
        assertThat(Files.exists(json)).isFalse();
    }
}
