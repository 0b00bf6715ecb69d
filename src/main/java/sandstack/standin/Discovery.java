package sandstack.standin;

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
 * A stand-in discovery: tells the list whole or as a watch, by its published protocol, after a delay, and not at all
 * while it is down. Each relay may be told addresses of its own. Lives on its yard's thread; a change costs O(watches).
 */
public final class Discovery {
    private static final long KEEPALIVE_INTERVAL_MICROS = 2_000_000;
    private static final int MAX_REQUEST_LENGTH = 8192;

    private final StandInLoop loop;
    private final int port;
    private final InstanceList instances = new InstanceList();
    private final Set<Connection> watches = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private long delay;
    private boolean down;

    /** At a port of the system's choice. */
    public Discovery(StandInLoop yard) throws IOException {
        this(yard, 0);
    }

    /** At this port; 0 for one of the system's choice. */
    public Discovery(StandInLoop yard, int at) throws IOException {
        this.loop = yard;
        this.port = yard.loop()
                .listen(StandInLoop.LOOPBACK, at, yard.loop().chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        new Connection(EventLoop.peer(context));
                        return context.getStopAction();
                    }
                }))
                .port();
        yard.after(KEEPALIVE_INTERVAL_MICROS, this::sendKeepalives);
    }

    /** The port at which it listens. */
    public int port() {
        return port;
    }

    /** Changes reach the watches so many microseconds late. */
    public void delay(long micros) {
        delay = micros;
    }

    /** Ends all watches and answers 503 until it is up again. */
    public void down(boolean isDown) {
        down = isDown;
        if (down) {
            for (Connection call : Set.copyOf(connections)) {
                call.peer.reset();
                call.remove();
            }
        }
    }

    /**
     * Lists this feed server, or tells that it has changed.
     *
     * @param state ready, draining or gone
     */
    public void list(FeedServer server, String model, double hint, String state) {
        long from = instances.revision();
        instances.put(new InstanceList.Instance(
                server.uid(),
                StandInLoop.LOOPBACK + ":" + server.port(),
                server.zone(),
                model,
                hint,
                state,
                server.bootedAt() / 1000));
        loop.after(delay, () -> Set.copyOf(watches).forEach(watch -> watch.sendChanges(from)));
    }

    /** The whole list, as the object that a configuration holds under {@code known}. */
    public ObjectNode known() {
        return instances.whole();
    }

    private void sendKeepalives() {
        List.copyOf(watches).forEach(Connection::sendKeepalive);
        loop.after(KEEPALIVE_INTERVAL_MICROS, this::sendKeepalives);
    }

    /** One call and, where it asked for that, its watch. */
    private final class Connection implements Peer.Owner {
        final Peer peer;
        private long sentRevision;

        Connection(Peer peer) {
            this.peer = peer;
            peer.ownedBy(this);
            connections.add(this);
        }

        @Override
        public void received(int count) {
            String text = peer.in().peek(peer.in().size());
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                if (text.length() > MAX_REQUEST_LENGTH) {
                    sendResponse("400 Bad Request", "");
                }
                return;
            }
            peer.in().skip(end + 4);
            handleRequest(text.substring(0, text.indexOf("\r\n")));
        }

        private void handleRequest(String request) {
            List<String> words = List.of(request.split(" "));
            if (words.size() != 3
                    || !words.get(0).equals("GET")
                    || !words.get(1).startsWith("/registry/instances")) {
                sendResponse("404 Not Found", "");
            } else if (down) {
                sendResponse("503 Service Unavailable", "");
            } else if (words.get(1).contains("watch=1")) {
                int at = words.get(1).indexOf("from=");
                sentRevision = at < 0
                        ? -1
                        : Long.parseLong(words.get(1).substring(at + 5).replaceAll("[^0-9].*", ""));
                peer.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.add(this);
                sendChanges(sentRevision);
            } else {
                sendResponse("200 OK", instances.whole() + "\n");
            }
        }

        void sendChanges(long from) {
            if (!peer.closed() && watches.contains(this)) {
                sendChunk(instances.since(Math.min(from, sentRevision)) + "\n");
                sentRevision = instances.revision();
            }
        }

        void sendKeepalive() {
            sendChunk("\n");
        }

        private void sendChunk(String text) {
            int length = text.getBytes(StandardCharsets.UTF_8).length;
            peer.send(Integer.toHexString(length) + "\r\n" + text + "\r\n");
        }

        private void sendResponse(String status, String body) {
            peer.send("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void remove() {
            watches.remove(this);
            connections.remove(this);
        }

        @Override
        public void flushed() {}

        @Override
        public void finished() {
            remove();
            peer.close();
        }

        @Override
        public void broken() {
            remove();
        }
    }
}
