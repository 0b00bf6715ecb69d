package sandstack.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.CapacityFiles;
import sandstack.measure.page.Plan;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.ScaleRun;

/**
 * {@code measure scale}: measures how costs grow with size, and extrapolates them to the planned sizes. Exits 0 only if
 * no measurement failed.
 */
@Command(
        name = "scale",
        description = "Measures how costs grow with size, fits a shape to each series and extrapolates it to the"
                + " planned size.",
        mixinStandardHelpOptions = true)
public final class ScaleCommand implements Callable<Integer> {
    private final List<ScaleMeasurement> measurements;

    @Spec
    private CommandSpec spec;

    @Option(names = "--quick", description = "Shorten the run to 45 s at most.")
    private boolean quick;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Also write the series and their fits to this JSON file.")
    private Path json;

    @Option(names = "--only", paramLabel = "NAME", description = "Run only this measurement.")
    private String only;

    @Option(
            names = "--plan",
            paramLabel = "FILE",
            defaultValue = CapacityFiles.PLAN,
            description = "File with the planned sizes (default: ${DEFAULT-VALUE}).")
    private Path plan;

    /** Creates the command with all measurements. */
    public ScaleCommand() {
        this(ScaleMeasurements.all());
    }

    ScaleCommand(List<ScaleMeasurement> measurements) {
        this.measurements = measurements;
    }

    @Override
    public Integer call() throws InvalidConfigurationException, IOException, InterruptedException {
        List<ScaleMeasurement> selected = selectedMeasurements();
        Plan plannedSizes = CapacityFiles.readPlan(plan);
        long startNanos = System.nanoTime();
        ScaleRun run = new ScaleRun(quick ? Effort.QUICK : Effort.FULL, this::printProgress);
        for (ScaleMeasurement measurement : selected) {
            run.measure(measurement);
        }
        ScaleReport report = report(run, (System.nanoTime() - startNanos) / 1e9);
        if (json != null) {
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(json.toFile(), report);
        }
        PrintWriter out = spec.commandLine().getOut();
        ScaleTable.lines(report, plannedSizes).forEach(out::println);
        out.flush();
        return report.failures().isEmpty() ? 0 : 1;
    }

    private List<ScaleMeasurement> selectedMeasurements() {
        Path folder = json == null ? null : json.toAbsolutePath().getParent();
        if (folder != null && !Files.isDirectory(folder)) {
            throw new ParameterException(spec.commandLine(), "the folder " + folder + " does not exist");
        }
        if (only == null) {
            return measurements;
        }
        List<ScaleMeasurement> matching =
                measurements.stream().filter(m -> m.name().equals(only)).toList();
        if (matching.isEmpty()) {
            String names = measurements.stream().map(ScaleMeasurement::name).collect(Collectors.joining(", "));
            throw new ParameterException(
                    spec.commandLine(), "unknown measurement " + only + "; choose one of " + names);
        }
        return matching;
    }

    private ScaleReport report(ScaleRun run, double seconds) throws InterruptedException {
        String command = "measure scale" + (quick ? " --quick" : "") + (only == null ? "" : " --only " + only);
        String date = LocalDate.now(ZoneOffset.UTC).toString();
        return new ScaleReport(
                command,
                date,
                CheckedOutCommit.name(),
                quick ? Effort.QUICK : Effort.FULL,
                seconds,
                run.results(),
                run.failures());
    }

    private void printProgress(String line) {
        spec.commandLine().getErr().println(line);
        spec.commandLine().getErr().flush();
    }
}
