package sandstack;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicReference;
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
import sandstack.core.EffectiveSettings;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.decisions.EndpointListKind;
import sandstack.directory.TenantDirectory;
import sandstack.discovery.DiscoveryWatch;
import sandstack.front.amqp.AmqpFront;
import sandstack.front.operators.OperatorDoor;
import sandstack.front.platform.PlatformFront;
import sandstack.handover.ResourceShares;
import sandstack.handover.SiblingProcesses;
import sandstack.net.ConnectionAdmission;
import sandstack.net.DescriptorBudget;
import sandstack.net.EventLoop;
import sun.misc.Signal;

/** One running relay: puts the parts together, and takes them down at the end. */
public final class Service {
    private static final Logger LOG = Logger.getLogger("sandstack.service");
    /** Descriptors that are not sockets of clients and servers: listeners, the selector, discovery, files. */
    private static final int OTHER_DESCRIPTORS = 48;
    /** A process that inherits its clients' socket waits so long for discovery before it serves by an older list. */
    private static final long LIST_WITHIN = 1_000_000;

    private static final long LOOK_AGAIN = 20_000;
    /** Last words are on their way so long after the last client has gone. */
    private static final long LAST_WORDS = 150_000;

    private final PlatformConfig config;
    private final Map<String, String> env;
    private final DeployFiles files;
    private final EventLoop loop = new EventLoop();
    private final Relay relay;
    private final DiscoveryWatch watch;
    private final List<String> listeners = new ArrayList<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final EndpointListJson form;
    private final ConnectionAdmission lobby;
    /** Descriptors for clients and feed servers, of all processes of this relay together. */
    private final int descriptors;
    /** What one process needs besides. */
    private final int kept;
    /** Null where no other process may be this relay too. */
    private SiblingProcesses kin;

    private boolean listFromKin;
    private int processes = 1;
    private final PlatformFront platform;
    /** What the last reload led to; the relay has the same, on its own thread. */
    private EffectiveSettings terms;

    private volatile boolean accepting;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    private int door;
    private long startedAt;

    /** How far this process is. It serves at most once, and never after it has been told to stop. */
    private enum Phase {
        /** No listener has been opened: told to stop, the process just ends. */
        STARTING,
        /** A client may be there, or may come: told to stop, the process drains. */
        SERVING,
        STOPPING
    }

    /** What a front's listen is. */
    private interface Listening {
        int listen(String host, int port) throws IOException;
    }

    /**
     * Creates a service that does not listen yet.
     *
     * @param env where the configuration was read from, and is read from again
     * @param kinds has learned the machine kinds of the configuration
     */
    public Service(
            PlatformConfig config,
            Map<String, String> env,
            DeployFiles files,
            CapacityFile capacity,
            MachineKinds kinds) {
        this.config = config;
        this.env = env;
        this.files = files;
        this.terms = config.effectiveSettings();
        this.relay = new Relay(
                terms,
                capacity.statedCapacities(),
                capacity.limits(),
                config.seed(),
                loop::nowMicros,
                this::askDiscovery);
        this.form = new EndpointListJson(config.zones(), kinds);
        this.watch = new DiscoveryWatch(loop, relay, config.discovery(), form);
        this.kept = OTHER_DESCRIPTORS + (config.operator() == null ? 0 : OperatorDoor.MAX_CALLERS);
        this.descriptors = descriptorsWithin(config.maxDescriptors() - kept);
        this.lobby = new ConnectionAdmission(loop, relay.deadlines(), descriptors);
        this.platform = new PlatformFront(loop, relay, lobby);
    }

    private static int descriptorsWithin(int allowed) {
        long heap = Runtime.getRuntime().maxMemory();
        int budget = DescriptorBudget.of(allowed, heap);
        if (budget < allowed) {
            LOG.info("a heap of " + (heap >> 20) + " MB bears " + budget + " of the " + allowed
                    + " descriptors that connections may take");
        }
        return budget;
    }

    /** The relay's name. */
    String name() {
        return config.name();
    }

    /** Whether another process of this relay may serve beside it. */
    boolean inherits() {
        return config.socketInherited();
    }

    /** Name of the zone in which it runs. */
    String zone() {
        int home = terms.settings().homeZone();
        return home < config.zones().size() ? config.zones().get(home) : String.valueOf(home);
    }

    private void askDiscovery() {
        watch.ask();
    }

    /** Serves until the process is told to stop. */
    public void serve() throws InvalidConfigurationException, IOException {
        start();
        // the loop's thread is the library's daemon: if this one ended, the process would begin to stop
        awaitEndOfProcess();
    }

    /**
     * Serves with a console at this terminal, until somebody quits or drains.
     *
     * @param more commands of parts that are on
     * @param withWord the same for commands that are followed by one more word
     */
    public void console(Map<String, Supplier<List<String>>> more, Map<String, Function<String, List<String>>> withWord)
            throws InvalidConfigurationException, IOException {
        start();
        new Console(new ConsoleCommands(
                        relay, loop, () -> listeners, () -> new Thread(() -> System.exit(0)).start(), more, withWord))
                .run();
        System.exit(0);
    }

    /**
     * Starts, asks itself once, and ends: the build archives the classes that this has loaded. Whether the
     * feed servers of the configuration are there does not matter.
     */
    public void rehearse() throws InvalidConfigurationException, IOException {
        int port = start();
        try (Socket client = new Socket(config.listen().host(), port)) {
            String line = "OPEN rehearsal key c="
                    + config.effectiveSettings().classNames().get(0) + ",d=300\r\n";
            client.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        if (config.operator() != null) {
            try (Socket caller = new Socket(config.operator().host(), door)) {
                caller.getOutputStream().write("INFO\r\n".getBytes(StandardCharsets.US_ASCII));
                caller.getInputStream().readAllBytes();
            }
        }
        reload();
        System.exit(0);
    }

    /** Returns the port at which clients of the platform are served. */
    private int start() throws InvalidConfigurationException, IOException {
        // the library's own way with SIGHUP is to end the process
        Signal.handle(new Signal("HUP"), signal -> reload());
        stopAtShutdown();
        JsonNode amqp = files.enabled("amqp.toml");
        JsonNode directory = files.enabled("directory.toml");
        TenantDirectory.DirectoryLocation where =
                directory == null ? null : TenantDirectory.DirectoryLocation.read(directory);
        Address amqpListen =
                amqp == null ? null : Address.parse(DeployFiles.text(amqp, "listen", "amqp.toml"), "amqp.toml: listen");
        if (config.socketInherited() && !(System.inheritedChannel() instanceof ServerSocketChannel)) {
            throw new InvalidConfigurationException("PROXY_SOCKET_FD is 0, but descriptor 0 is no listening socket");
        }
        startedAt = loop.nowMicros();
        EndpointRegistry.Update known = config.socketInherited() ? joinKin() : null;
        if (known == null) {
            known = config.cachedEndpoints() != null
                    ? config.cachedEndpoints()
                    : new EndpointRegistry.Update(EndpointListKind.CACHED, -1, List.of());
        }
        relay.onEndpointList(known);
        loop.start(relay::runTurn, relay::nextTurnMicros);
        if (config.operator() != null) {
            door = listen(
                    "operators",
                    config.operator(),
                    new OperatorDoor(loop, relay.deadlines(), this::hindrance, relay::metricLines)::listen);
        }
        if (terms.settings().endpointListStaleness().pushed()) {
            // nobody tells unasked over a socket: what the agent has binds all the same
            loop.execute(this::askDiscovery);
        }
        int port = 0;
        if (kin != null) {
            kin.start(new KinOfRelay());
        }
        if (config.socketInherited()) {
            loop.execute(this::acceptOnceItCanServe);
        } else {
            awaitFirstList();
            port = listen("lines", config.listen(), platform::listen);
            accepting = true;
        }
        if (amqpListen != null) {
            listen("AMQP", amqpListen, new AmqpFront(loop, relay, lobby, config.name())::listen);
        }
        if (where != null) {
            new TenantDirectory(where, list -> loop.execute(() -> relay.onTenants(list))).start();
        }
        return port;
    }

    /** Why this process cannot serve now; null where it can. On the loop's thread. */
    private String hindrance() {
        return relay.isDraining()
                ? "draining"
                : !relay.endpoints().hasReadyServer()
                        ? "no feed server is listed"
                        : accepting ? null : "discovery has not answered yet";
    }

    /** Where what the agent has counts from the first moment, no client comes before the relay has heard it. */
    private void awaitFirstList() {
        if (terms.settings().endpointListStaleness().firstListTimeoutMicros() > 0) {
            CountDownLatch told = new CountDownLatch(1);
            loop.execute(() -> untilTold(told));
            await(told);
        }
    }

    private void untilTold(CountDownLatch told) {
        if (relay.endpoints().hasDiscoveryList()
                || loop.nowMicros() - startedAt
                        >= terms.settings().endpointListStaleness().firstListTimeoutMicros()) {
            told.countDown();
        } else {
            relay.deadlines().schedule(loop.nowMicros() + LOOK_AGAIN, () -> untilTold(told));
        }
    }

    /** Another process serves at the inherited socket meanwhile: a client taken too early waits longer here. */
    private void acceptOnceItCanServe() {
        long since = loop.nowMicros() - startedAt;
        boolean listed = relay.endpoints().hasDiscoveryList() || listFromKin || since >= LIST_WITHIN;
        // the process that serves has to hear of this one first, and make room for it
        if (!relay.endpoints().hasReadyServer() || !listed || processes > 1 && since < 2 * SiblingProcesses.BEAT) {
            relay.deadlines().schedule(loop.nowMicros() + LOOK_AGAIN, this::acceptOnceItCanServe);
            return;
        }
        if (!mayServe()) {
            return;
        }
        try {
            int port = platform.listenOnInheritedSocket();
            accepting = true;
            listeners.add("lines at the inherited socket, port " + port);
            LOG.info(config.name() + " listens for lines at the inherited socket, port " + port);
        } catch (IOException e) {
            LOG.severe("the inherited socket cannot be used: " + e.getMessage());
        }
    }

    /** Reckons with other processes of this relay; returns the list of one that serves, or null. */
    private EndpointRegistry.Update joinKin() {
        kin = new SiblingProcesses(
                Path.of(env.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                config.name(),
                loop::nowMicros);
        SiblingProcesses.Found found = kin.find();
        processesAre(found.count() + 1);
        if (found.list() == null) {
            return null;
        }
        try {
            EndpointRegistry.Update news = form.readCached(found.list());
            listFromKin = true;
            LOG.info("takes over from another process, whose list has "
                    + news.endpoints().size() + " feed servers");
            return news;
        } catch (InvalidConfigurationException e) {
            LOG.warning("the list of another process cannot be used: " + e.getMessage());
            return null;
        }
    }

    private void processesAre(int count) {
        if (count != processes) {
            processes = count;
            relay.onProcessCount(count);
            LOG.info("processes of this relay: " + count);
        }
    }

    /** What the other processes are told of this one, and what follows here from what they tell. */
    private final class KinOfRelay implements SiblingProcesses.Relay {
        @Override
        public SiblingProcesses.Own own(long writtenList) throws InterruptedException {
            CompletableFuture<SiblingProcesses.Own> own = new CompletableFuture<>();
            loop.execute(() -> {
                long number = relay.endpoints().changeCount();
                own.complete(new SiblingProcesses.Own(
                        lobby.descriptorsInUse(),
                        number,
                        number == writtenList ? null : form.toJson(relay.endpoints())));
            });
            try {
                return own.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void others(List<Integer> used) {
            loop.execute(() -> {
                if (used.isEmpty() && processes == 1) {
                    return;
                }
                processesAre(used.size() + 1);
                lobby.setDescriptorLimit(
                        ResourceShares.descriptors(descriptors - kept * used.size(), lobby.descriptorsInUse(), used));
            });
        }
    }

    private int listen(String what, Address at, Listening front) throws InvalidConfigurationException, IOException {
        int port;
        if (!mayServe()) {
            awaitEndOfProcess();
        }
        try {
            port = front.listen(at.host(), at.port());
            listeners.add(what + " at " + at.host() + ":" + port);
        } catch (IOException e) {
            if (phase.getAndSet(Phase.STOPPING) != Phase.STOPPING) {
                loop.stop();
            }
            throw new InvalidConfigurationException("cannot listen at " + at + ": " + e.getMessage());
        }
        LOG.info(config.name() + " listens for " + what + " at " + at.host() + ":" + port);
        return port;
    }

    /**
     * On SIGHUP: reads the configuration again, whole, and swaps settings and discovery in, in one turn. One at a time,
     * so that of several the one that read last also counts last. One that cannot be used changes nothing.
     */
    private synchronized void reload() {
        try {
            PlatformConfig next = config.reload(env);
            EffectiveSettings after = terms.mergedWith(next.effectiveSettings());
            terms = after;
            loop.execute(() -> {
                relay.applySettings(after);
                watch.moveTo(next.discovery());
            });
            LOG.info("configuration read again, discovery is " + next.discovery() + ", classes are "
                    + String.join(", ", next.effectiveSettings().classNames()));
            for (String stays : config.changesThatNeedRestart(next)) {
                LOG.info("counts from the next start: " + stays);
            }
        } catch (InvalidConfigurationException | IllegalArgumentException e) {
            loop.execute(relay::onSettingsRejected);
            LOG.warning("new configuration not taken, all stays as it is: " + e.getMessage());
        }
    }

    /** Before any listener is open: a client that comes between a listener and this would be cut off by SIGTERM. */
    private void stopAtShutdown() {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        } catch (IllegalStateException e) {
            // SIGTERM has come already
            awaitEndOfProcess();
        }
    }

    /** Begins to serve; false where this process has been told to stop, and may open no listener any more. */
    private boolean mayServe() {
        return phase.compareAndSet(Phase.STARTING, Phase.SERVING) || phase.get() == Phase.SERVING;
    }

    private static void awaitEndOfProcess() {
        await(new CountDownLatch(1));
    }

    /** On SIGTERM: moves the clients away first. */
    private void stop() {
        if (phase.getAndSet(Phase.STOPPING) != Phase.SERVING) {
            return;
        }
        loop.execute(() -> {
            if (config.socketInherited() && accepting) {
                pauseAccepting();
            }
            relay.drain(lobby::peersWithoutRequest, () -> {
                lobby.stopWaitingForRequests();
                drained.countDown();
            });
        });
        await(drained);
        CountDownLatch lastWords = new CountDownLatch(1);
        loop.execute(() -> relay.deadlines().schedule(loop.nowMicros() + LAST_WORDS, lastWords::countDown));
        await(lastWords);
        if (kin != null) {
            kin.close();
        }
        LOG.info("stopped");
    }

    /** Whoever waits at a socket that other processes have too is theirs. */
    private void pauseAccepting() {
        try {
            platform.pauseAccepting();
        } catch (IOException e) {
            LOG.warning("accepting cannot be stopped: " + e.getMessage());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
