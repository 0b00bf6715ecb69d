package sandstack.faultinjection;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sandstack.config.InvalidConfigurationException;
import sandstack.faultinjection.FaultScheduleRunner.Outcome;

/**
 * {@code faults}: runs fault schedules against real members and checks the invariants; exits with 1 if one is violated.
 */
@Command(
        name = "faults",
        description = "Starts real members, injects faults between them and checks the invariants of the fleet.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "(run | search | shrink)")
public final class FaultsCommand implements Runnable {
    private static final int EXIT_VIOLATION = 1;
    private static final int MAX_PRINTED_VIOLATIONS = 5;
    private static final double NANOS_PER_MINUTE = 60e9;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "specify a subcommand: run, search or shrink");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private static List<String> program(Path jar) throws InvalidConfigurationException {
        if (!Files.isRegularFile(jar)) {
            throw new InvalidConfigurationException("--jar: file not found: " + jar);
        }
        return List.of("-jar", jar.toString());
    }

    @Command(
            description = "Runs one fault schedule: a file, or one generated from a seed.",
            mixinStandardHelpOptions = true)
    int run(
            @Parameters(arity = "0..1", paramLabel = "FILE", description = "The fault schedule.") Path file,
            @Option(names = "--seed", paramLabel = "N", description = "Generate the fault schedule from this seed.")
                    Long seed,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The JAR file to run (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        if ((file == null) == (seed == null)) {
            throw new ParameterException(spec.commandLine(), "specify either FILE or --seed N");
        }
        FaultSchedule schedule = file != null ? FaultScheduleFile.read(file) : FaultScheduleGenerator.generate(seed);
        Outcome outcome = FaultScheduleRunner.run(program(jar), schedule);
        printOutcome(file != null ? file.toString() : "seed " + seed, schedule, outcome);
        return outcome.violations().isEmpty() ? 0 : EXIT_VIOLATION;
    }

    private void printOutcome(String source, FaultSchedule schedule, Outcome outcome) {
        String convergence = outcome.convergedAfterMicros() < 0
                ? "not converged"
                : String.format(Locale.ROOT, "converged after %.1f s", outcome.convergedAfterMicros() / 1e6);
        out().printf(
                        Locale.ROOT,
                        "%s: %d members, %d steps, %s, %d violations%n",
                        source,
                        schedule.members(),
                        schedule.steps().size(),
                        convergence,
                        outcome.violations().size());
        outcome.violations().stream()
                .limit(MAX_PRINTED_VIOLATIONS)
                .map(violation -> "  " + violation.invariant().description() + ": " + violation.detail())
                .forEach(out()::println);
        out().flush();
    }

    @Command(
            description = "Runs generated fault schedules for a given time and keeps those that violate an invariant.",
            mixinStandardHelpOptions = true)
    int search(
            @Option(names = "--minutes", paramLabel = "M", required = true, description = "Duration of the search.")
                    double minutes,
            @Option(
                            names = "--from",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "The first seed (default: ${DEFAULT-VALUE}).")
                    long from,
            @Option(
                            names = "--keep",
                            paramLabel = "FOLDER",
                            defaultValue = ".",
                            description = "Folder for violating schedules (default: ${DEFAULT-VALUE}).")
                    Path keep,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The JAR file to run (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        long untilNanos = System.nanoTime() + (long) (minutes * NANOS_PER_MINUTE);
        int runs = 0;
        int violating = 0;
        for (long seed = from; System.nanoTime() < untilNanos; seed++) {
            FaultSchedule schedule = FaultScheduleGenerator.generate(seed);
            Outcome outcome = FaultScheduleRunner.run(program(jar), schedule);
            runs++;
            printOutcome("seed " + seed, schedule, outcome);
            if (!outcome.violations().isEmpty()) {
                violating++;
                Files.createDirectories(keep);
                Files.writeString(keep.resolve("faults-" + seed + ".toml"), FaultScheduleFile.format(schedule));
                Files.writeString(keep.resolve("faults-" + seed + ".log"), outcome.logs());
            }
        }
        out().println(runs + " runs, " + violating + " with violations");
        return violating == 0 ? 0 : EXIT_VIOLATION;
    }

    @Command(
            description = "Shrinks a fault schedule: removes steps while it still violates an invariant and writes the "
                    + "remaining ones to a file beside it.",
            mixinStandardHelpOptions = true)
    int shrink(
            @Parameters(paramLabel = "FILE", description = "The fault schedule.") Path file,
            @Option(
                            names = "--tries",
                            paramLabel = "N",
                            defaultValue = "2",
                            description =
                                    "Runs per schedule; each must violate an invariant (default: ${DEFAULT-VALUE}).")
                    int tries,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The JAR file to run (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        FaultSchedule smallest = FaultScheduleFile.read(file);
        if (!alwaysViolates(program(jar), smallest, tries)) {
            out().println(file + ": not all of " + tries + " runs violate an invariant");
            return 0;
        }
        for (int i = smallest.steps().size() - 1; i >= 0; i--) {
            FaultSchedule candidate = smallest.without(i);
            if (alwaysViolates(program(jar), candidate, tries)) {
                smallest = candidate;
            }
        }
        Path target = file.resolveSibling(file.getFileName().toString().replaceFirst("(\\.toml)?$", ".small.toml"));
        Files.writeString(target, FaultScheduleFile.format(smallest));
        out().println(target + ": " + smallest.steps().size() + " steps remain");
        return EXIT_VIOLATION;
    }

    private static boolean alwaysViolates(List<String> program, FaultSchedule schedule, int runs)
            throws IOException, InterruptedException {
        for (int i = 0; i < runs; i++) {
            if (FaultScheduleRunner.run(program, schedule).violations().isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
