package sandstack.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** Fake feed servers, a fake discovery and relay processes for one measurement, all in one zone. */
public final class Testbed implements AutoCloseable {
    private static final int DEFAULT_MAX_DESCRIPTORS = 20_000;

    private final int maxDescriptors;
    private final TestServerLoop loop = new TestServerLoop();
    private final FakeDiscovery discovery;
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final List<RelayProcess> relays = new ArrayList<>();

    /** Starts a discovery without feed servers; the configuration of each relay allows 20,000 file descriptors. */
    public Testbed() throws IOException {
        this(DEFAULT_MAX_DESCRIPTORS);
    }

    /**
     * Starts a discovery without feed servers.
     *
     * @param maxDescriptors maximum number of file descriptors in the configuration of each relay
     */
    public Testbed(int maxDescriptors) throws IOException {
        this.maxDescriptors = maxDescriptors;
        discovery = loop.create(() -> new FakeDiscovery(loop));
    }

    /**
     * Starts a feed server and registers it in discovery as ready.
     *
     * @param model machine model in discovery
     * @param capacityHint relative capacity in discovery
     * @param profile behaviour of the server
     */
    public FakeFeedServer addFeedServer(String model, double capacityHint, ServerProfile profile) {
        return loop.create(() -> {
            FakeFeedServer server = new FakeFeedServer(loop, "s" + servers.size(), "home", profile);
            servers.add(server);
            discovery.publish(server, model, capacityHint, "ready");
            return server;
        });
    }

    /**
     * Starts relays one after the other and blocks until all of them listen.
     *
     * @param deployFiles contents of the files in the deploy folder of each relay, by file name
     * @param jvmOptions JVM options in addition to those of {@code run} in deploy/balancer.toml
     */
    public void startRelays(Path jar, int count, Map<String, String> deployFiles, List<String> jvmOptions)
            throws IOException {
        for (int i = 0; i < count; i++) {
            relays.add(new RelayProcess(
                    jar,
                    new RelayProcess.Setup(
                            "r" + i,
                            i,
                            count,
                            List.of("home"),
                            0,
                            discovery.port(),
                            loop.call(discovery::knownInstances),
                            maxDescriptors,
                            deployFiles,
                            jvmOptions)));
        }
    }

    /** The event loop on which discovery, all feed servers and all clients run. */
    public TestServerLoop loop() {
        return loop;
    }

    /** The feed servers in the order in which they were added. */
    public List<FakeFeedServer> servers() {
        return servers;
    }

    /** The relays in the order in which they were started. */
    public List<RelayProcess> relays() {
        return List.copyOf(relays);
    }

    List<Integer> relayPorts() {
        return relays.stream().map(RelayProcess::port).toList();
    }

    /** The log lines of all relays, in the order in which the relays were started. */
    List<String> relayLogs() {
        return relays.stream().flatMap(relay -> relay.log().stream()).toList();
    }

    /** Kills the relays and stops the event loop with all its connections. */
    @Override
    public void close() {
        relays.forEach(RelayProcess::close);
        loop.close();
    }
}
