import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * After a power cut the relay is up before its two feed servers, which come back some seconds later. AMQP clients ask for
 * connections, get no answer at once, and ask again over a new connection under the same container id and link name.
 */
final class Unanswered {
    private static final int FEED_SERVERS = 2;
    private static final int CLIENTS = 12;
    private static final long DEADLINE_MILLIS = 3000;
    /** Until then a late answer only earns nothing; later it is lost. */
    private static final long LATE_MILLIS = 500;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, Unanswered::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Discovery discovery = new Discovery(kit);
        // a socket that is bound and does not listen keeps the port, and connections to it are refused
        Socket[] bound = new Socket[FEED_SERVERS];
        for (int i = 0; i < FEED_SERVERS; i++) {
            bound[i] = new Socket();
            bound[i].bind(new InetSocketAddress(Kit.HOST, 0));
            discovery.put("feed-" + (i + 1), bound[i].getLocalPort(), "ready");
        }
        if (!Kit.TROUBLE) {
            startFeedServers(kit, bound);
        }
        int listen = Kit.freePort();
        int amqp = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        kit.startRelay(
                "relay", kit.rootWithAmqp(amqp), Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        Kit.sleep(500);
        List<AmqpPeer.Client> again = new ArrayList<>();
        List<Long> askedAt = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String container = "tablet-" + i;
            AmqpPeer.Client first = new AmqpPeer.Client(kit, container, amqp, container, "orders", false, null);
            Kit.sleep(150);
            kit.log(container + ": first connection attached=" + first.attached + " detached=" + first.detached
                    + "; asks again over a second connection");
            askedAt.add(kit.millis());
            again.add(new AmqpPeer.Client(kit, container + " again", amqp, container, "orders", true, null));
            Kit.sleep(400);
        }
        if (Kit.TROUBLE) {
            startFeedServers(kit, bound);
        }
        Kit.sleep(DEADLINE_MILLIS + LATE_MILLIS + 1500);
        boolean held = true;
        for (int i = 0; i < CLIENTS; i++) {
            AmqpPeer.Client client = again.get(i);
            boolean answered = client.attached || client.detached != null || client.peer.ended;
            kit.log(client.peer.label + ": " + (kit.millis() - askedAt.get(i)) + " ms after the request: attached="
                    + client.attached + " detached=" + client.detached + " connection ended=" + client.peer.ended
                    + (answered ? "" : " NEVER ANSWERED"));
            held &= answered;
        }
        return held;
    }

    private static void startFeedServers(Kit kit, Socket[] bound) throws IOException {
        for (int i = 0; i < bound.length; i++) {
            int port = bound[i].getLocalPort();
            bound[i].close();
            new AmqpPeer.Server(kit, "feed-" + (i + 1), port);
        }
        kit.log("the feed servers are up");
    }
}
