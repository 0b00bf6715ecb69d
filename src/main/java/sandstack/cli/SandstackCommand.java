package sandstack.cli;

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
import sandstack.faultinjection.FaultsCommand;
import sandstack.fleet.link.FleetMember;
import sandstack.fleet.link.FleetViewFormatter;
import sandstack.measure.MeasureCommand;
import sandstack.measure.OpenCommand;
import sandstack.measure.StandInCommand;
import sandstack.service.RelayService;
import sandstack.service.RelayServiceLoader;
import sandstack.simulator.MalformedMessageException;
import sandstack.simulator.SimulatorSession;

/** The program's commands with their help and exit codes; invalid usage is reported in one line. */
@Command(
        name = "sandstack",
        description = "A relay for long-lived connections.",
        mixinStandardHelpOptions = true,
        versionProvider = SandstackCommand.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {FaultsCommand.class, MeasureCommand.class, OpenCommand.class, StandInCommand.class})
public final class SandstackCommand implements Callable<Integer> {
    private static final long FLEET_REPLY_TIMEOUT_SECONDS = 5;
    private static final String FLEET_HELP = "Join the fleet that deploy/fleet.toml describes and enables.";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The option of commands whose load balancing uses stated capacities. */
    static final class CapacityOption {
        @Option(
                names = "--capacity",
                paramLabel = "FILE",
                description =
                        "Stated capacities of the feed servers (default: deploy/capacity.toml, which states none).")
        private Path file;
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = SandstackCommand.class.getPackage().getImplementationVersion();
            return new String[] {"sandstack " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Parses the arguments and runs the command that they name; returns its exit code. */
    public static int run(String... args) {
        if (!FleetClassPath.isNeeded(args)) {
            return commandLine().execute(args);
        }
        try {
            return FleetClassPath.run(args);
        } catch (IOException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    static CommandLine commandLine() {
        return new CommandLine(new SandstackCommand())
                .setParameterExceptionHandler((e, args) -> {
                    e.getCommandLine()
                            .getErr()
                            .println(e.getCommandLine().getCommandSpec().qualifiedName() + ": "
                                    + e.getMessage().lines().findFirst().orElse("invalid usage") + "; try --help");
                    return ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    command.getErr()
                            .println(command.getCommandSpec().name() + ": "
                                    + (e instanceof IOException ? "input or output failed: " : "") + e.getMessage());
                    return e instanceof InvalidConfigurationException ? ExitCode.USAGE : ExitCode.FAILURE;
                });
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            description = "Runs a relay with the configuration that PROXY_CONFIG names.",
            mixinStandardHelpOptions = true)
    int serve(@Mixin CapacityOption capacity, @Option(names = "--fleet", description = FLEET_HELP) boolean fleet)
            throws InvalidConfigurationException, IOException {
        if (fleet) {
            RelayService service = RelayServiceLoader.loadFleetMember(capacity.file);
            joinFleet(service);
            service.serve();
        } else {
            RelayServiceLoader.load(capacity.file).serve();
        }
        return 0;
    }

    @Command(description = "Runs a relay with a console on this terminal.", mixinStandardHelpOptions = true)
    int console(@Mixin CapacityOption capacity, @Option(names = "--fleet", description = FLEET_HELP) boolean fleet)
            throws InvalidConfigurationException, IOException {
        if (!fleet) {
            RelayServiceLoader.load(capacity.file).console(Map.of(), Map.of());
            return 0;
        }
        RelayService service = RelayServiceLoader.loadFleetMember(capacity.file);
        FleetMember member = joinFleet(service);
        service.console(
                Map.of(
                        "fleet",
                        () -> FleetViewFormatter.lines(member.view()),
                        "fleet json",
                        () -> List.of(FleetViewFormatter.json(member.view()))),
                Map.of("fleet take-out", name -> decommission(member, name)));
        return 0;
    }

    private static List<String> decommission(FleetMember member, String name) {
        try {
            return FleetViewFormatter.decommissionOutcome(
                    name, member.decommission(name).get(FLEET_REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("the fleet's thread does not respond");
        }
    }

    /**
     * Joins the fleet before the relay serves, so that a second process with the same name never serves. With an
     * inherited socket a second process is a sibling process, which serves as soon as it can and joins when the first
     * one has released the address.
     */
    private static FleetMember joinFleet(RelayService service) throws InvalidConfigurationException {
        FleetFile fleetFile = FleetFile.read(RelayServiceLoader.deployFiles());
        FleetMember member = new FleetMember(fleetFile, service.name(), service.zone());
        if (service.inheritsSocket()) {
            member.startWhenAddressFree();
        } else {
            member.start();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(member::close, "leave"));
        return member;
    }

    @Command(
            description = "Starts a relay, sends it test requests and exits; used by the build.",
            mixinStandardHelpOptions = true)
    int rehearse(@Mixin CapacityOption capacity) throws InvalidConfigurationException, IOException {
        RelayServiceLoader.load(capacity.file).rehearse();
        return 0;
    }

    @Command(
            description = "Runs the load balancer for the simulator, on standard input and output.",
            mixinStandardHelpOptions = true)
    int simhost(@Mixin CapacityOption capacity)
            throws InvalidConfigurationException, IOException, MalformedMessageException {
        new SimulatorSession(CapacityFile.read(RelayServiceLoader.deployFiles(), capacity.file))
                .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
        return 0;
    }
}
