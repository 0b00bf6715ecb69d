package sandstack.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.logging.Logger;
import sandstack.config.CapacityFile;
import sandstack.config.DeployFiles;
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.config.PlatformConfig;
import sandstack.config.PlatformConfig.Address;
import sandstack.console.Console;
import sandstack.console.ConsoleCommands;
import sandstack.core.EndpointRegistry;
import sandstack.core.LocalRequestIds;
import sandstack.core.Relay;
import sandstack.decisions.EndpointListKind;
import sandstack.directory.TenantDirectory;
import sandstack.discovery.DiscoveryWatch;
import sandstack.front.amqp.AmqpFront;
import sandstack.front.operators.OperatorFront;
import sandstack.front.platform.PlatformFront;
import sandstack.handover.SharedRequestIds;
import sandstack.net.ConnectionAdmission;
import sandstack.net.DescriptorBudget;
import sandstack.net.EventLoop;
import sandstack.net.FinalFlush;
import sandstack.net.HeapBudget;
import sandstack.staleness.EndpointListStaleness;
import sun.misc.Signal;

/**
 * One relay process: creates the relay's parts, starts them and stops them. Constructed and started on one thread;
 * after that the parts run on the event loop's thread.
 */
public final class RelayService {
    private static final Logger LOG = Logger.getLogger("sandstack.service");
    /**
     * Descriptors reserved for other uses than client and feed server sockets: listeners, selector, discovery, files.
     */
    private static final int OTHER_DESCRIPTORS = 48;
    /** Version of the empty list before any update has been received. */
    private static final long NO_VERSION = -1;

    private static final String AMQP_FILE = "amqp.toml";
    private static final String DIRECTORY_FILE = "directory.toml";

    private final PlatformConfig config;
    private final DeployFiles files;
    private final EventLoop loop = new EventLoop();
    private final Relay relay;
    private final DiscoveryWatch watch;
    private final ConnectionAdmission admission;
    private final ServiceLifecycle lifecycle = new ServiceLifecycle();
    private final Listeners listeners;
    private final ClientListener clientListener;
    private final ConfigurationReloader reloader;
    /** Null if the listening socket is not inherited; no sibling process can exist then. */
    private final SiblingHandover handover;

    /** Port of the listener for the platform's clients; 0 before it is open and with an inherited socket. */
    private int clientPort;
    /** Port of the operators' listener; 0 if there is none. */
    private int operatorPort;

    /**
     * Creates a service that is not started.
     *
     * @param environment the environment variables that name the configuration; read again at each reload
     * @param kinds the machine kinds, which already include those of {@code config}
     */
    public RelayService(
            PlatformConfig config,
            Map<String, String> environment,
            DeployFiles files,
            CapacityFile capacity,
            MachineKinds kinds) {
        this.config = config;
        this.files = files;
        relay = new Relay(
                config.effectiveSettings(),
                capacity.statedCapacities(),
                capacity.limits(),
                config.seed(),
                loop::nowMicros,
                this::pollDiscovery,
                config.socketInherited()
                        ? new SharedRequestIds(SiblingHandover.sharedFolder(environment), config.name(), loop)
                        : new LocalRequestIds());
        EndpointListJson listFormat = new EndpointListJson(config.zones(), kinds);
        watch = new DiscoveryWatch(loop, relay, config.discovery(), listFormat);
        int reservedDescriptors = OTHER_DESCRIPTORS + (config.operator() == null ? 0 : OperatorFront.MAX_CONNECTIONS);
        int descriptors = descriptorsWithin(config.maxDescriptors() - reservedDescriptors);
        loop.heapBudget()
                .setLimitBytes(HeapBudget.forConnections(Runtime.getRuntime().maxMemory()));
        admission = new ConnectionAdmission(loop, relay.deadlines(), descriptors);
        listeners = new Listeners(config.name(), lifecycle, loop);
        clientListener =
                new ClientListener(loop, relay, new PlatformFront(loop, relay, admission), listeners, lifecycle);
        reloader = new ConfigurationReloader(config, environment, loop, relay, watch);
        handover = config.socketInherited()
                ? new SiblingHandover(
                        config.name(), environment, loop, relay, admission, watch, descriptors, reservedDescriptors)
                : null;
    }

    private static int descriptorsWithin(int allowed) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        int budget = DescriptorBudget.of(allowed, heapBytes);
        if (budget < allowed) {
            LOG.info("descriptor limit reduced heap_mb=" + (heapBytes >> 20) + " limit=" + budget + " configured="
                    + allowed);
        }
        return budget;
    }

    /** The configured name of the relay. */
    public String name() {
        return config.name();
    }

    /** Whether clients are accepted at an inherited socket, where a sibling process may accept too. */
    public boolean inheritsSocket() {
        return config.socketInherited();
    }

    /** Name of the relay's home zone; its index as a decimal number if the zone has no name. */
    public String zone() {
        int home = reloader.effectiveSettings().settings().homeZone();
        return home < config.zones().size() ? config.zones().get(home) : String.valueOf(home);
    }

    /** Serves until the process is stopped; does not return normally. */
    public void serve() throws InvalidConfigurationException, IOException {
        start();
        // Grizzly's selector thread is a daemon thread: the process would exit if this thread ended
        ServiceLifecycle.awaitEndOfProcess();
    }

    /**
     * Serves with a console on this terminal until an operator quits or drains the relay.
     *
     * @param commands additional console commands without argument, by name
     * @param commandsWithArgument additional console commands with one argument, by name
     */
    public void console(
            Map<String, Supplier<List<String>>> commands,
            Map<String, Function<String, List<String>>> commandsWithArgument)
            throws InvalidConfigurationException, IOException {
        start();
        new Console(new ConsoleCommands(
                        relay,
                        loop,
                        listeners::descriptions,
                        () -> new Thread(() -> System.exit(0)).start(),
                        commands,
                        commandsWithArgument))
                .run();
        System.exit(0);
    }

    /**
     * Starts, sends itself a client's request and an operator's command, reloads the configuration and exits. The build
     * archives the classes that this loads. The configured feed servers need not be reachable.
     */
    public void rehearse() throws InvalidConfigurationException, IOException {
        start();
        String className = config.effectiveSettings().classNames().get(0);
        exchange(config.listen().host(), clientPort, "OPEN rehearsal key c=" + className + ",d=300\r\n");
        if (config.operator() != null) {
            exchange(config.operator().host(), operatorPort, "INFO\r\n");
        }
        reloader.reload();
        System.exit(0);
    }

    private static void exchange(String host, int port, String line) throws IOException {
        try (Socket socket = new Socket(host, port)) {
            socket.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private void start() throws InvalidConfigurationException, IOException {
        // the JVM's default handler of SIGHUP ends the process
        Signal.handle(new Signal("HUP"), signal -> reloader.reload());
        lifecycle.onShutdown(this::stop);
        JsonNode amqp = files.readIfEnabled(AMQP_FILE);
        JsonNode directory = files.readIfEnabled(DIRECTORY_FILE);
        TenantDirectory.DirectoryConfig directoryConfig =
                directory == null ? null : TenantDirectory.DirectoryConfig.read(directory);
        Address amqpAddress = amqp == null
                ? null
                : Address.parse(DeployFiles.requiredText(amqp, "listen", AMQP_FILE), AMQP_FILE + ": listen");
        if (config.socketInherited() && !(System.inheritedChannel() instanceof ServerSocketChannel)) {
            throw new InvalidConfigurationException("PROXY_SOCKET_FD is 0, but descriptor 0 is not a listening socket");
        }
        startLoop();
        openOperatorListener();
        if (staleness().pushed()) {
            // over a socket, even an agent that pushes sends its list only in response to a watch, and the relay counts
            // as notified of that list from its start
            loop.execute(this::pollDiscovery);
        }
        if (handover != null) {
            handover.start();
            loop.execute(() -> clientListener.acceptInheritedWhenReady(handover));
        } else {
            clientPort = clientListener.open(config.listen(), () -> staleness().firstListTimeoutMicros());
        }
        if (amqpAddress != null) {
            listeners.open("AMQP", amqpAddress, new AmqpFront(loop, relay, admission, config.name())::listen);
        }
        if (directoryConfig != null) {
            new TenantDirectory(directoryConfig, tenants -> loop.execute(() -> relay.onTenants(tenants))).start();
        }
    }

    /** Starts the event loop with a sibling process's endpoint list if there is one, else with the configured list. */
    private void startLoop() throws IOException {
        clientListener.recordStartTime();
        relay.onEndpointList(initialEndpoints());
        loop.start(relay::runTurn, relay::nextTurnMicros);
    }

    private EndpointRegistry.Update initialEndpoints() {
        Optional<EndpointRegistry.Update> siblingList = handover == null ? Optional.empty() : handover.join();
        if (siblingList.isPresent()) {
            return siblingList.get();
        }
        return config.cachedEndpoints() != null
                ? config.cachedEndpoints()
                : new EndpointRegistry.Update(EndpointListKind.CACHED, NO_VERSION, List.of());
    }

    private void openOperatorListener() throws InvalidConfigurationException, IOException {
        if (config.operator() != null) {
            operatorPort = listeners.open(
                    "operators",
                    config.operator(),
                    new OperatorFront(loop, relay.deadlines(), clientListener::notReadyReason, relay::metricLines)
                            ::listen);
        }
    }

    /** The timing rules of the endpoint list now in force; a reload during the start may change them. */
    private EndpointListStaleness staleness() {
        return reloader.effectiveSettings().settings().endpointListStaleness();
    }

    private void pollDiscovery() {
        watch.poll();
    }

    /**
     * Called by the shutdown hook: drains the relay, waits for the last answers to be written, and deletes this
     * process's files for its sibling processes.
     */
    private void stop() {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            if (config.socketInherited()) {
                clientListener.pauseAccepting();
            }
            relay.drain(admission::peersWithoutRequest, () -> {
                admission.endRemaining();
                drained.countDown();
            });
        });
        ServiceLifecycle.await(drained);
        CountDownLatch flushed = new CountDownLatch(1);
        loop.execute(() -> new FinalFlush(loop, relay.deadlines(), admission)
                .begin(relay.exitDeadlineMicros(), flushed::countDown));
        ServiceLifecycle.await(flushed);
        if (handover != null) {
            handover.close();
        }
        LOG.info("relay stopped relay=" + config.name());
    }
}
