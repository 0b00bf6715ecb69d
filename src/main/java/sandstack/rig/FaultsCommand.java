package sandstack.rig;

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

/** {@code faults}: plays schedules of faults between real members and checks the rules; exits 0 where none is broken. */
@Command(
        name = "faults",
        description = "Starts real members, puts faults between them and checks what must hold.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "(run | search | shrink)")
public final class FaultsCommand implements Runnable {
    private static final int EXIT_VIOLATION = 1;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "say run, search or shrink");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private static List<String> program(Path jar) throws InvalidConfigurationException {
        if (!Files.isRegularFile(jar)) {
            throw new InvalidConfigurationException("--jar: there is no file " + jar);
        }
        return List.of("-jar", jar.toString());
    }

    @Command(description = "Plays one schedule: a file, or one drawn from a seed.", mixinStandardHelpOptions = true)
    int run(
            @Parameters(arity = "0..1", paramLabel = "FILE", description = "The schedule.") Path file,
            @Option(names = "--seed", paramLabel = "N", description = "Draw it.") Long seed,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The program (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        if ((file == null) == (seed == null)) {
            throw new ParameterException(spec.commandLine(), "say either a FILE or --seed N");
        }
        FaultSchedule schedule = file != null ? FaultScheduleFile.read(file) : FaultScheduleGenerator.generate(seed);
        FaultScheduleRunner.Outcome outcome = FaultScheduleRunner.run(program(jar), schedule);
        printOutcome(file != null ? file.toString() : "seed " + seed, schedule, outcome);
        return outcome.violations().isEmpty() ? 0 : EXIT_VIOLATION;
    }

    private void printOutcome(String what, FaultSchedule schedule, FaultScheduleRunner.Outcome outcome) {
        out().printf(
                        Locale.ROOT,
                        "%s: %d members, %d steps, %s, %s%n",
                        what,
                        schedule.members(),
                        schedule.steps().size(),
                        outcome.convergedAfterMicros() < 0
                                ? "never equal"
                                : String.format(
                                        Locale.ROOT, "equal after %.1f s", outcome.convergedAfterMicros() / 1e6),
                        outcome.violations().isEmpty()
                                ? "all rules kept"
                                : outcome.violations().size() + " times broken");
        outcome.violations().stream().limit(5).forEach(b -> out().println(
                        "  " + b.invariant().description() + ": " + b.detail()));
        out().flush();
    }

    @Command(
            description = "Plays drawn schedules until the time is over; keeps what breaks a rule.",
            mixinStandardHelpOptions = true)
    int search(
            @Option(names = "--minutes", paramLabel = "M", required = true, description = "How long.") double minutes,
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
                            description = "Where broken schedules are kept (default: ${DEFAULT-VALUE}).")
                    Path keep,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The program (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        long until = System.nanoTime() + (long) (minutes * 60e9);
        int broken = 0;
        int played = 0;
        for (long seed = from; System.nanoTime() < until; seed++) {
            FaultSchedule schedule = FaultScheduleGenerator.generate(seed);
            FaultScheduleRunner.Outcome outcome = FaultScheduleRunner.run(program(jar), schedule);
            played++;
            printOutcome("seed " + seed, schedule, outcome);
            if (!outcome.violations().isEmpty()) {
                broken++;
                Files.createDirectories(keep);
                Files.writeString(keep.resolve("faults-" + seed + ".toml"), FaultScheduleFile.format(schedule));
                Files.writeString(keep.resolve("faults-" + seed + ".log"), outcome.logs());
            }
        }
        out().println(played + " played, " + broken + " broken");
        return broken == 0 ? 0 : EXIT_VIOLATION;
    }

    @Command(
            description =
                    "Takes steps out of a schedule for as long as it stays broken; writes what is left beside it.",
            mixinStandardHelpOptions = true)
    int shrink(
            @Parameters(paramLabel = "FILE", description = "The schedule.") Path file,
            @Option(
                            names = "--tries",
                            paramLabel = "N",
                            defaultValue = "2",
                            description = "Plays of each that must all break (default: ${DEFAULT-VALUE}).")
                    int tries,
            @Option(
                            names = "--jar",
                            paramLabel = "JAR",
                            defaultValue = "target/sandstack.jar",
                            description = "The program (default: ${DEFAULT-VALUE}).")
                    Path jar)
            throws InvalidConfigurationException, IOException, InterruptedException {
        FaultSchedule least = FaultScheduleFile.read(file);
        if (!alwaysViolates(program(jar), least, tries)) {
            out().println(file + ": no rule is broken in each of " + tries + " plays");
            return 0;
        }
        for (int i = least.steps().size() - 1; i >= 0; i--) {
            FaultSchedule fewer = least.without(i);
            if (alwaysViolates(program(jar), fewer, tries)) {
                least = fewer;
            }
        }
        Path small = file.resolveSibling(file.getFileName().toString().replaceFirst("(\\.toml)?$", ".small.toml"));
        Files.writeString(small, FaultScheduleFile.format(least));
        out().println(small + ": " + least.steps().size() + " steps are left");
        return EXIT_VIOLATION;
    }

    private static boolean alwaysViolates(List<String> program, FaultSchedule schedule, int tries)
            throws IOException, InterruptedException {
        for (int i = 0; i < tries; i++) {
            if (FaultScheduleRunner.run(program, schedule).violations().isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
