package sandstack;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sandstack.config.CapacityFile;
import sandstack.config.FleetFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.fleet.link.FleetMember;
import sandstack.fleet.link.FleetViewFormatter;
import sandstack.measure.MeasureCommand;
import sandstack.measure.OpenCommand;
import sandstack.measure.StandInCommand;
import sandstack.rig.FaultsCommand;
import sandstack.simulator.MalformedMessageException;
import sandstack.simulator.SimulatorSession;

/** The commands of the program, their help and their exit codes: 2 for wrong usage or settings, told in one line. */
@Command(
        name = "sandstack",
        description = "A relay for long-lived connections.",
        mixinStandardHelpOptions = true,
        versionProvider = CommandLineOfAll.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {FaultsCommand.class, MeasureCommand.class, OpenCommand.class, StandInCommand.class})
public final class CommandLineOfAll implements Callable<Integer> {
    private static final int WRONG = 2;
    private static final long ANSWERS_SECONDS = 5;
    private static final String FLEET = "Be a member of the fleet that deploy/fleet.toml describes and enables.";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** What commands take that decide by what is known of the feed servers. */
    static final class Known {
        @Option(
                names = "--capacity",
                paramLabel = "FILE",
                description =
                        "What is known of the feed servers (default: deploy/capacity.toml, which states nothing).")
        private Path file;
    }

    /** The version of the build. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String built = CommandLineOfAll.class.getPackage().getImplementationVersion();
            return new String[] {"sandstack " + (built == null ? "(not from a jar)" : built)};
        }
    }

    /** Runs a command; returns the exit code. */
    public static int run(String... args) {
        if (!FleetPath.isNeeded(args)) {
            return line().execute(args);
        }
        try {
            return FleetPath.run(args);
        } catch (IOException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            return 1;
        }
    }

    static CommandLine line() {
        return new CommandLine(new CommandLineOfAll())
                .setParameterExceptionHandler((e, wrong) -> {
                    e.getCommandLine()
                            .getErr()
                            .println(e.getCommandLine().getCommandSpec().qualifiedName() + ": "
                                    + e.getMessage().lines().findFirst().orElse("wrong usage") + "; try --help");
                    return WRONG;
                })
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr()
                            .println(line.getCommandSpec().name() + ": "
                                    + (e instanceof IOException ? "input or output failed: " : "") + e.getMessage());
                    return e instanceof InvalidConfigurationException ? WRONG : 1;
                });
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(description = "A relay, as PROXY_CONFIG says.", mixinStandardHelpOptions = true)
    int serve(@Mixin Known known, @Option(names = "--fleet", description = FLEET) boolean fleet)
            throws InvalidConfigurationException, IOException {
        Service service = Main.service(known.file, fleet);
        member(service, fleet);
        service.serve();
        return 0;
    }

    @Command(description = "A relay with a console on this terminal.", mixinStandardHelpOptions = true)
    int console(@Mixin Known known, @Option(names = "--fleet", description = FLEET) boolean fleet)
            throws InvalidConfigurationException, IOException {
        Service service = Main.service(known.file, fleet);
        FleetMember link = member(service, fleet);
        service.console(
                link == null
                        ? Map.of()
                        : Map.of(
                                "fleet",
                                () -> FleetViewFormatter.lines(link.view()),
                                "fleet json",
                                () -> List.of(FleetViewFormatter.json(link.view()))),
                link == null ? Map.of() : Map.of("fleet take-out", name -> takeOut(link, name)));
        return 0;
    }

    private static List<String> takeOut(FleetMember link, String name) {
        try {
            return FleetViewFormatter.decommissionOutcome(
                    name, link.decommission(name).get(ANSWERS_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("the fleet's thread does not answer");
        }
    }

    /** Joins the fleet before the relay serves, so that a second process of its name never does; null where it is off. */
    private static FleetMember member(Service service, boolean fleet) throws InvalidConfigurationException {
        if (!fleet) {
            return null;
        }
        FleetMember link = new FleetMember(FleetFile.read(Main.files()), service.name(), service.zone());
        if (service.inherits()) {
            link.startWhenAddressFree();
        } else {
            link.start();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(link::close, "leave"));
        return link;
    }

    @Command(description = "Starts, asks itself once and ends; for the build.", mixinStandardHelpOptions = true)
    int rehearse(@Mixin Known known) throws InvalidConfigurationException, IOException {
        Main.service(known.file, false).rehearse();
        return 0;
    }

    @Command(
            description = "The decisions on the simulator's wire, on standard input and output.",
            mixinStandardHelpOptions = true)
    int simhost(@Mixin Known known) throws InvalidConfigurationException, IOException, MalformedMessageException {
        new SimulatorSession(CapacityFile.read(Main.files(), known.file))
                .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
        return 0;
    }
}
