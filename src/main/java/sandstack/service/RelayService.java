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
import sandstack.core.Relay;
import sandstack.decisions.EndpointListKind;
import sandstack.directory.TenantDirectory;
import sandstack.discovery.DiscoveryWatch;
import sandstack.front.amqp.AmqpFront;
import sandstack.front.operators.OperatorFront;
import sandstack.front.platform.PlatformFront;
import sandstack.net.ConnectionAdmission;
import sandstack.net.DescriptorBudget;
import sandstack.net.EventLoop;
import sandstack.staleness.EndpointListStaleness;
import sun.misc.Signal;

/**
 * One running relay: wires its parts together, starts them, and takes them down at the end. Constructed and started on
 * one thread; the parts run on the event loop's thread from then on.
 */
public final class RelayService {
    private static final Logger LOG = Logger.getLogger("sandstack.service");
    /** Descriptors that are not sockets of clients and servers: listeners, the selector, discovery, files. */
    private static final int OTHER_DESCRIPTORS = 48;
    /** The last answers are on their way so long after the last client has left. */
    private static final long FINAL_FLUSH_MICROS = 150_000;

    /** The version of a list before any has been received. */
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
    /** Null where no other process may be this relay too. */
    private final SiblingHandover handover;

    /** The port at which clients of the platform are served; 0 before that, and at an inherited socket. */
    private int clientPort;
    /** The port at which operators are served; 0 where there is none. */
    private int operatorPort;

    /**
     * Creates a service that does not listen yet.
     *
     * @param environment where the configuration was read from, and is read from again
     * @param kinds has learned the machine kinds of the configuration
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
                this::pollDiscovery);
        EndpointListJson listFormat = new EndpointListJson(config.zones(), kinds);
        watch = new DiscoveryWatch(loop, relay, config.discovery(), listFormat);
        int reservedDescriptors = OTHER_DESCRIPTORS + (config.operator() == null ? 0 : OperatorFront.MAX_CONNECTIONS);
        int descriptors = descriptorsWithin(config.maxDescriptors() - reservedDescriptors);
        admission = new ConnectionAdmission(loop, relay.deadlines(), descriptors);
        listeners = new Listeners(config.name(), lifecycle, loop);
        clientListener =
                new ClientListener(loop, relay, new PlatformFront(loop, relay, admission), listeners, lifecycle);
        reloader = new ConfigurationReloader(config, environment, loop, relay, watch);
        handover = config.socketInherited()
                ? new SiblingHandover(
                        config.name(),
                        environment,
                        loop,
                        relay,
                        admission,
                        listFormat,
                        descriptors,
                        reservedDescriptors)
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

    /** The relay's name. */
    public String name() {
        return config.name();
    }

    /** Whether another process of this relay may serve beside it. */
    public boolean inheritsSocket() {
        return config.socketInherited();
    }

    /** Name of the zone in which it runs. */
    public String zone() {
        int home = reloader.effectiveSettings().settings().homeZone();
        return home < config.zones().size() ? config.zones().get(home) : String.valueOf(home);
    }

    // ---- what the commands run --------------------------------------------------------------------

    /** Serves until the process is told to stop. */
    public void serve() throws InvalidConfigurationException, IOException {
        start();
        // the loop's thread is a daemon of the library's: if this one ended, the process would begin to stop
        ServiceLifecycle.awaitEndOfProcess();
    }

    /**
     * Serves with a console at this terminal, until somebody quits or drains.
     *
     * @param commands commands of optional parts
     * @param commandsWithArgument the same for commands that take one argument
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
     * Starts, sends itself one request of each kind, and ends: the build archives the classes that this has loaded.
     * Whether the feed servers of the configuration can be reached does not matter.
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

    // ---- start ------------------------------------------------------------------------------------

    private void start() throws InvalidConfigurationException, IOException {
        // the library's own handler of SIGHUP ends the process
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
            throw new InvalidConfigurationException("PROXY_SOCKET_FD is 0, but descriptor 0 is no listening socket");
        }
        startLoop();
        openOperatorListener();
        if (staleness().pushed()) {
            // an agent that pushes does not do so unasked over a socket, and its list is binding all the same
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

    /** Starts the event loop with the endpoint list of a sibling process, else the one of the configuration, if any. */
    private void startLoop() throws IOException {
        clientListener.beginStart();
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

    /** Changes where a reload comes during the start. */
    private EndpointListStaleness staleness() {
        return reloader.effectiveSettings().settings().endpointListStaleness();
    }

    private void pollDiscovery() {
        watch.poll();
    }

    // ---- stop -------------------------------------------------------------------------------------

    /** On SIGTERM: migrates the clients first. */
    private void stop() {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            if (config.socketInherited()) {
                clientListener.pauseAccepting();
            }
            relay.drain(admission::peersWithoutRequest, () -> {
                admission.stopWaitingForRequests();
                drained.countDown();
            });
        });
        ServiceLifecycle.await(drained);
        CountDownLatch flushed = new CountDownLatch(1);
        loop.execute(() -> relay.deadlines().schedule(loop.nowMicros() + FINAL_FLUSH_MICROS, flushed::countDown));
        ServiceLifecycle.await(flushed);
        if (handover != null) {
            handover.close();
        }
        LOG.info("relay stopped relay=" + config.name());
    }
}
