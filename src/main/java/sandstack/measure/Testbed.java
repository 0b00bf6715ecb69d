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

/** Stand-in feed servers, a stand-in discovery and relay processes for one measurement, all in one zone. */
public final class Testbed implements AutoCloseable {
    private static final int DEFAULT_MAX_DESCRIPTORS = 20_000;

    private final int maxDescriptors;
    private final TestServerLoop loop = new TestServerLoop();
    private final FakeDiscovery discovery;
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final List<RelayProcess> relays = new ArrayList<>();

    /** Starts a discovery without feed servers; each relay may use 20,000 file descriptors. */
    public Testbed() throws IOException {
        this(DEFAULT_MAX_DESCRIPTORS);
    }

    /**
     * Starts a discovery without feed servers.
     *
     * @param maxDescriptors file descriptors that the configuration of each relay allows
     */
    public Testbed(int maxDescriptors) throws IOException {
        this.maxDescriptors = maxDescriptors;
        discovery = loop.create(() -> new FakeDiscovery(loop));
    }

    /**
     * Starts a feed server and registers it as ready.
     *
     * @param model machine kind that discovery reports
     * @param hint relative capacity that discovery reports
     */
    public FakeFeedServer addFeedServer(String model, double hint, ServerProfile machine) {
        return loop.create(() -> {
            FakeFeedServer server = new FakeFeedServer(loop, "s" + servers.size(), "home", machine);
            servers.add(server);
            discovery.publish(server, model, hint, "ready");
            return server;
        });
    }

    /**
     * Starts relays and waits until they listen.
     *
     * @param files names and contents of the files in each relay's deploy folder
     * @param options of the virtual machine
     */
    public void startRelays(Path jar, int count, Map<String, String> files, List<String> options) throws IOException {
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
                            files,
                            options)));
        }
    }

    /** The event loop of all stand-ins and clients. */
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

    List<Integer> ports() {
        return relays.stream().map(RelayProcess::port).toList();
    }

    /** The log lines of all relays. */
    List<String> logs() {
        return relays.stream().flatMap(relay -> relay.log().stream()).toList();
    }

    /** Kills the relays and closes all connections of the stand-ins. */
    @Override
    public void close() {
        relays.forEach(RelayProcess::close);
        loop.close();
    }
}
