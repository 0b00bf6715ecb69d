package sandstack;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Logger;
import sandstack.config.BadSettings;
import sandstack.config.CapacityFile;
import sandstack.config.MachineKinds;
import sandstack.config.NameTableJson;
import sandstack.config.OwnFiles;
import sandstack.config.PlatformConfig;
import sandstack.config.PlatformConfig.Address;
import sandstack.console.Commands;
import sandstack.console.Console;
import sandstack.core.Relay;
import sandstack.directory.TenantDirectory;
import sandstack.front.amqp.AmqpFront;
import sandstack.front.platform.PlatformFront;
import sandstack.nametable.DiscoveryWatch;
import sandstack.net.Lobby;
import sandstack.net.Loop;
import sun.misc.Signal;

/** One running relay: puts the parts together, and takes them down at the end. */
public final class Service {
    private static final Logger LOG = Logger.getLogger("sandstack.service");
    /** Descriptors that are not sockets of clients and servers: listeners, the selector, discovery, files. */
    private static final int OTHER_DESCRIPTORS = 48;
    /** Last words are on their way so long after the last client has gone. */
    private static final long LAST_WORDS = 150_000;

    private final PlatformConfig config;
    private final Map<String, String> env;
    private final OwnFiles files;
    private final Loop loop = new Loop();
    private final Relay relay;
    private final DiscoveryWatch watch;
    private final List<String> listeners = new ArrayList<>();
    private final CountDownLatch drained = new CountDownLatch(1);

    /** What a front's listen is. */
    private interface Listening {
        int listen(String host, int port) throws IOException;
    }

    /**
     * @param env where the configuration was read from, and is read from again
     * @param kinds has learned the machine kinds of the configuration
     */
    public Service(PlatformConfig config, Map<String, String> env, OwnFiles files, CapacityFile capacity,
            MachineKinds kinds) {
        this.config = config;
        this.env = env;
        this.files = files;
        this.relay = new Relay(config.settings(), capacity.book(), capacity.limits(), config.seed(),
                loop::now, this::askDiscovery);
        this.watch = new DiscoveryWatch(loop, relay, config.discovery(),
                new NameTableJson(config.zones(), kinds));
    }

    private void askDiscovery() {
        watch.ask();
    }

    /** Serves until the process is told to stop. */
    public void serve() throws BadSettings, IOException {
        start();
        // the loop's thread is the library's daemon: if this one ended, the process would begin to stop
        await(new CountDownLatch(1));
    }

    /** Serves with a console at this terminal, until somebody quits or drains. */
    public void console() throws BadSettings, IOException {
        start();
        new Console(new Commands(relay, loop, () -> listeners, () -> new Thread(() -> System.exit(0)).start())).run();
        System.exit(0);
    }

    /**
     * Starts, asks itself once, and ends: the build archives the classes that this has loaded. Whether the
     * feed servers of the configuration are there does not matter.
     */
    public void rehearse() throws BadSettings, IOException {
        int port = start();
        try (Socket client = new Socket(config.listen().host(), port)) {
            String line = "OPEN rehearsal key c=" + config.classes().get(0) + ",d=300\r\n";
            client.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        System.exit(0);
    }

    /** Returns the port at which clients of the platform are served. */
    private int start() throws BadSettings, IOException {
        // the library's own way with SIGHUP is to end the process
        Signal.handle(new Signal("HUP"), signal -> reload());
        JsonNode amqp = files.enabled("amqp.toml");
        JsonNode directory = files.enabled("directory.toml");
        TenantDirectory.Where where = directory == null ? null : TenantDirectory.Where.read(directory);
        Address amqpListen = amqp == null ? null
                : Address.parse(OwnFiles.text(amqp, "listen", "amqp.toml"), "amqp.toml: listen");
        if (config.known() != null) {
            relay.listed(config.known());
        }
        Lobby lobby = new Lobby(loop, relay.deadlines(), config.sockets() - OTHER_DESCRIPTORS);
        loop.start(relay::turn, relay::nextTurn);
        int port = listen("lines", config.listen(),
                new PlatformFront(loop, relay, lobby, config.classes(), config.tellsDelays())::listen);
        if (amqpListen != null) {
            listen("AMQP", amqpListen,
                    new AmqpFront(loop, relay, lobby, config.classes(), config.name())::listen);
        }
        if (where != null) {
            new TenantDirectory(where, list -> loop.execute(() -> relay.tenantsListed(list))).start();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        return port;
    }

    private int listen(String what, Address at, Listening front) throws BadSettings, IOException {
        int port;
        try {
            port = front.listen(at.host(), at.port());
            listeners.add(what + " at " + at.host() + ":" + port);
        } catch (IOException e) {
            loop.stop();
            throw new BadSettings("cannot listen at " + at + ": " + e.getMessage());
        }
        LOG.info(config.name() + " listens for " + what + " at " + at.host() + ":" + port);
        return port;
    }

    /**
     * On SIGHUP: reads the configuration again and watches discovery where it says now. All else in it counts
     * from the next start. One at a time, so that of several the one that read last also counts last.
     */
    private synchronized void reload() {
        try {
            Address discovery = PlatformConfig.reload(env).discovery();
            loop.execute(() -> watch.moveTo(discovery));
            LOG.info("configuration read again, discovery is " + discovery);
        } catch (BadSettings e) {
            LOG.warning("new configuration not taken, all stays as it is: " + e.getMessage());
        }
    }

    /** On SIGTERM: moves the clients away first. */
    private void stop() {
        loop.execute(() -> relay.drain(drained::countDown));
        await(drained);
        CountDownLatch lastWords = new CountDownLatch(1);
        loop.execute(() -> relay.deadlines().at(loop.now() + LAST_WORDS, lastWords::countDown));
        await(lastWords);
        LOG.info("stopped");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
