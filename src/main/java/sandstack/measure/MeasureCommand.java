package sandstack.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sandstack.measure.page.CapacityPageCommand;

/** {@code measure NAME}: runs one measurement and prints its metrics; exits 0 only if all targets are met. */
@Command(
        name = "measure",
        description =
                "Runs one measurement with relay processes and stand-in servers on loopback, and checks its targets.",
        mixinStandardHelpOptions = true,
        subcommands = {ScaleCommand.class, CapacityPageCommand.class})
public final class MeasureCommand implements Callable<Integer> {
    private static final Map<String, Measurement> MEASUREMENTS = new TreeMap<>(Map.of(
            "capacity",
            new CapacityMeasurement(),
            "estimators",
            new EstimatorMeasurement(),
            "fleet",
            new FleetMeasurement()));

    @Spec
    private CommandSpec spec;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "NAME",
            description = "The measurement: capacity, estimators or fleet.")
    private String name;

    @Option(names = "--quick", description = "Shorten the run to 40 s at most.")
    private boolean quick;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Also write the metrics and their targets to this JSON file.")
    private Path json;

    @Option(
            names = "--jar",
            paramLabel = "JAR",
            defaultValue = "target/sandstack.jar",
            description = "The build that relays are started from (default: ${DEFAULT-VALUE}).")
    private Path jar;

    @Option(names = "--against", paramLabel = "JAR", description = "Another build to compare with, on the same seed.")
    private Path baselineJar;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Seed of all random draws (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Override
    public Integer call() throws Exception {
        if (name == null) {
            throw new ParameterException(
                    spec.commandLine(), "the name of the measurement is missing; choose one of " + measurementNames());
        }
        Measurement measurement = MEASUREMENTS.get(name);
        if (measurement == null) {
            throw new ParameterException(
                    spec.commandLine(), "unknown measurement " + name + "; choose one of " + measurementNames());
        }
        for (Path needed : baselineJar == null ? List.of(jar) : List.of(jar, baselineJar)) {
            if (!Files.isRegularFile(needed)) {
                throw new ParameterException(spec.commandLine(), "there is no file " + needed + "; build it first");
            }
        }
        List<MetricResult> results = measurement.run(new Measurement.Options(quick, jar, baselineJar, seed), line -> {
            spec.commandLine().getErr().println(line);
            spec.commandLine().getErr().flush();
        });
        print(results);
        if (json != null) {
            write(results);
        }
        return results.stream().allMatch(MetricResult::met) ? 0 : 1;
    }

    private static String measurementNames() {
        return String.join(", ", MEASUREMENTS.keySet());
    }

    private void print(List<MetricResult> results) {
        int width = results.stream()
                .mapToInt(result -> result.name().length())
                .max()
                .orElse(0);
        for (MetricResult result : results) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%-" + width + "s  %12s  %-12s %s%n",
                            result.name(),
                            MetricResult.format(result.value()),
                            result.target(),
                            result.target().isEmpty() ? "" : result.met() ? "held" : "MISSED");
        }
        spec.commandLine().getOut().flush();
    }

    private void write(List<MetricResult> results) throws IOException {
        ObjectNode root = new ObjectMapper().createObjectNode().put("name", name);
        for (MetricResult result : results) {
            root.withArray("aims")
                    .addObject()
                    .put("name", result.name())
                    .put("value", result.value())
                    .put("aim", result.target())
                    .put("held", result.met());
        }
        Files.writeString(json, root + System.lineSeparator());
    }
}
