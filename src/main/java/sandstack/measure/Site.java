package sandstack.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.standin.Discovery;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.StandInLoop;

/** Feed servers, discovery and relays for one measurement, in one zone. Closing it ends all of them. */
public final class Site implements AutoCloseable {
    private static final int SOCKETS = 20_000;

    private final int sockets;
    private final StandInLoop yard = new StandInLoop();
    private final Discovery discovery;
    private final List<FeedServer> servers = new ArrayList<>();
    private final List<RelayProcess> relays = new ArrayList<>();

    /** With relays that may use as many descriptors as a process usually has here. */
    public Site() throws IOException {
        this(SOCKETS);
    }

    /**
     * Starts a discovery that lists no feed server yet.
     *
     * @param sockets descriptors that the configuration of each relay allows it
     */
    public Site(int sockets) throws IOException {
        this.sockets = sockets;
        discovery = yard.make(() -> new Discovery(yard));
    }

    /** Adds a feed server and lists it as ready. */
    public FeedServer server(String model, double hint, Machine machine) {
        return yard.make(() -> {
            FeedServer server = new FeedServer(yard, "s" + servers.size(), "home", machine);
            servers.add(server);
            discovery.list(server, model, hint, "ready");
            return server;
        });
    }

    /** Starts so many relays from this jar, with these files of their own. */
    public void relays(Path jar, int count, Map<String, String> files, List<String> options) throws IOException {
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
                            yard.on(discovery::known),
                            sockets,
                            files,
                            options)));
        }
    }

    /** The thread of all stand-ins here. */
    public StandInLoop yard() {
        return yard;
    }

    /** The feed servers, in the order in which they were added. */
    public List<FeedServer> servers() {
        return servers;
    }

    /** The relays, in the order in which they were started. */
    public List<RelayProcess> relays() {
        return List.copyOf(relays);
    }

    List<Integer> ports() {
        return relays.stream().map(RelayProcess::port).toList();
    }

    /** What all relays have logged. */
    List<String> logs() {
        return relays.stream().flatMap(relay -> relay.log().stream()).toList();
    }

    @Override
    public void close() {
        relays.forEach(RelayProcess::close);
        yard.close();
    }
}
