package sandstack.testserver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A fake discovery service: serves the list of feed servers over the published discovery protocol, as a single response
 * or as a watch (a chunked response that continues with each change). Tests can delay its updates and make it
 * unavailable. Used on the thread of its loop. A change costs O(watches * instances).
 */
public final class FakeDiscovery {
    private static final long KEEPALIVE_INTERVAL_MICROS = 2_000_000;
    private static final int MAX_REQUEST_LENGTH = 8192;
    private static final String REVISION_PARAMETER = "from=";

    private final TestServerLoop loop;
    private final int port;
    private final InstanceList instances = new InstanceList();
    /** The connections with an open watch. */
    private final Set<Connection> watches = new LinkedHashSet<>();

    private final Set<Connection> connections = new LinkedHashSet<>();
    private long updateDelayMicros;
    private boolean unavailable;
    private boolean rejectingRequests;

    /** Listens on a port that the system chooses. */
    public FakeDiscovery(TestServerLoop loop) throws IOException {
        this(loop, 0);
    }

    /** Listens on a fixed port; with 0, on a port that the system chooses. */
    public FakeDiscovery(TestServerLoop loop, int fixedPort) throws IOException {
        this.loop = loop;
        this.port = loop.listen(fixedPort, new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                new Connection(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
        loop.schedule(KEEPALIVE_INTERVAL_MICROS, this::sendKeepalives);
    }

    /** The port on which discovery listens. */
    public int port() {
        return port;
    }

    /** Sets the delay from a change to its watch events, for later changes. */
    public void delayUpdates(long micros) {
        updateDelayMicros = micros;
    }

    /** Starts or ends an outage: its start resets all connections, and requests during it get status 503. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
        if (unavailable) {
            for (Connection connection : Set.copyOf(connections)) {
                connection.peer.reset();
                connection.remove();
            }
        }
    }

    /** Starts or ends a time in which new requests get status 503, while open watches go on. */
    public void setRejectingRequests(boolean isRejecting) {
        rejectingRequests = isRejecting;
    }

    /**
     * Adds a feed server to the list or replaces its entry, and notifies the watches.
     *
     * @param model machine type
     * @param capacityHint relative capacity
     * @param state ready, draining or gone
     */
    public void publish(FakeFeedServer server, String model, double capacityHint, String state) {
        long previousRevision = instances.revision();
        instances.put(new InstanceList.Instance(
                server.uid(),
                TestServerLoop.LOOPBACK + ":" + server.port(),
                server.zone(),
                model,
                capacityHint,
                state,
                server.bootedAtMicros() / 1000));
        loop.schedule(
                updateDelayMicros, () -> Set.copyOf(watches).forEach(watch -> watch.sendChanges(previousRevision)));
    }

    /** The complete list, in the form of the key {@code known} of a relay's configuration. */
    public ObjectNode knownInstances() {
        return instances.snapshot();
    }

    private void sendKeepalives() {
        List.copyOf(watches).forEach(Connection::sendKeepalive);
        loop.schedule(KEEPALIVE_INTERVAL_MICROS, this::sendKeepalives);
    }

    /** One client connection, with its watch if it requested one. */
    private final class Connection implements Peer.Listener {
        final Peer peer;
        /** The revision up to which the watch's client has the list; -1 if it has none. */
        private long sentRevision;

        Connection(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
            connections.add(this);
        }

        @Override
        public void onBytesReceived(int count) {
            String text = peer.input().peekText(peer.input().size());
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                if (text.length() > MAX_REQUEST_LENGTH) {
                    sendResponse("400 Bad Request", "");
                }
                return;
            }
            peer.input().skip(end + 4);
            handleRequest(text.substring(0, text.indexOf("\r\n")));
        }

        private void handleRequest(String requestLine) {
            List<String> fields = List.of(requestLine.split(" "));
            if (fields.size() != 3
                    || !fields.get(0).equals("GET")
                    || !fields.get(1).startsWith("/registry/instances")) {
                sendResponse("404 Not Found", "");
            } else if (unavailable || rejectingRequests) {
                sendResponse("503 Service Unavailable", "");
            } else if (fields.get(1).contains("watch=1")) {
                sentRevision = requestedRevision(fields.get(1));
                peer.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.add(this);
                sendChanges(sentRevision);
            } else {
                sendResponse("200 OK", instances.snapshot() + "\n");
            }
        }

        /** The revision from which a watch request continues; -1 if it names none. */
        private static long requestedRevision(String path) {
            int parameter = path.indexOf(REVISION_PARAMETER);
            return parameter < 0
                    ? -1
                    : Long.parseLong(path.substring(parameter + REVISION_PARAMETER.length())
                            .replaceAll("[^0-9].*", ""));
        }

        void sendChanges(long fromRevision) {
            if (!peer.isClosed() && watches.contains(this)) {
                sendChunk(instances.changesSince(Math.min(fromRevision, sentRevision)) + "\n");
                sentRevision = instances.revision();
            }
        }

        void sendKeepalive() {
            sendChunk("\n");
        }

        private void sendChunk(String body) {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            peer.send(Integer.toHexString(length) + "\r\n" + body + "\r\n");
        }

        private void sendResponse(String status, String body) {
            peer.send("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void remove() {
            watches.remove(this);
            connections.remove(this);
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            remove();
            peer.close();
        }

        @Override
        public void onConnectionLost() {
            remove();
        }
    }
}
