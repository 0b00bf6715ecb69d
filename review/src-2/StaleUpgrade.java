import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upgrade: the new process starts beside the old one. Discovery tells the old process on its open watch that some feed
 * servers drain; the calls of the new process wait too long and fail, because discovery is crowded.
 */
final class StaleUpgrade {
    private static final int FEED_SERVERS = 11;
    /** Half of the feed servers are replaced in steps while relays are restarted. */
    private static final int DRAINING = 5;
    /** One relay sees about 1.4 new connections a second (4.2 over three relays); here it is one. */
    private static final long CLIENT_INTERVAL_MILLIS = 1000;
    /** The grace of the settings and the 50 ms of the protocol page, in milliseconds. */
    private static final long DRAIN_GRACE_MILLIS = 350;
    /** What discovery tells binds this long after the new process's yes. */
    private static final long BINDS_AFTER_YES_MILLIS = 2000;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, StaleUpgrade::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Discovery discovery = new Discovery(kit);
        List<FeedServer> servers = new ArrayList<>();
        List<Long> sends = new CopyOnWriteArrayList<>();
        for (int i = 1; i <= FEED_SERVERS; i++) {
            FeedServer server = new FeedServer(kit, "feed-" + i);
            servers.add(server);
            discovery.put(server.uid, server.port(), "ready");
            if (i <= DRAINING) {
                server.onRequest = line -> sends.add(kit.millis());
            }
        }
        int listen = inheritableSocket();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        int oldOperator = Kit.freePort();
        Process old = start(kit, "old process", config, listen, discovery.port(), oldOperator);
        awaitYes(kit, "old process", oldOperator);
        for (int i = 0; i < 4; i++) {
            new LineClient(kit, listen, "before" + i, "c=order-status,d=3000,g=shop" + i);
            Kit.sleep(100);
        }
        // the calls of the new process wait too long from now on; the old process's watch stays open
        discovery.failCalls(call -> Kit.TROUBLE && call > 1, 400);
        int newOperator = Kit.freePort();
        start(kit, "new process", config, listen, discovery.port(), newOperator);
        // its first call shows that it has taken over the list of the old process
        for (int i = 0; i < 1000 && discovery.calls() < 2; i++) {
            Kit.sleep(10);
        }
        Kit.sleep(50);
        long toldAt = kit.millis();
        for (FeedServer server : servers.subList(0, DRAINING)) {
            server.drain();
            discovery.change(server.uid, "draining");
        }
        long yesAt = awaitYes(kit, "new process", newOperator);
        kit.terminate("old process", old);
        long bindsAt = Math.max(toldAt, yesAt + BINDS_AFTER_YES_MILLIS) + DRAIN_GRACE_MILLIS;
        kit.log("the drains bind from " + bindsAt + " ms on, the grace included");
        long until = bindsAt + 4000;
        for (int i = 0; kit.millis() < until; i++) {
            new LineClient(kit, listen, "client" + i, "c=order-status,d=3000,g=hall" + i);
            Kit.sleep(CLIENT_INTERVAL_MILLIS);
        }
        Kit.sleep(500);
        List<Long> late = sends.stream().filter(at -> at > bindsAt).toList();
        kit.log("requests sent to draining feed servers after that time: " + late.size() + ", at " + late + " ms");
        return late.isEmpty();
    }

    private static Process start(
            Kit kit, String label, java.nio.file.Path config, int listen, int discoveryPort, int operatorPort)
            throws IOException {
        Map<String, String> environment = Kit.environment("relay-1", config, listen, discoveryPort);
        environment.put("PROXY_SOCKET_FD", "0");
        environment.put("PROXY_OPERATOR", Kit.HOST + ":" + operatorPort);
        return kit.startRelay(label, null, environment, ProcessBuilder.Redirect.INHERIT);
    }

    /** Waits for the answer ACK at the operator endpoint; returns when it came. */
    private static long awaitYes(Kit kit, String label, int operatorPort) {
        long until = kit.millis() + 20_000;
        while (kit.millis() < until) {
            try (Socket socket = new Socket(Kit.HOST, operatorPort)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                String answer = FeedServer.readLine(socket.getInputStream());
                if (answer != null && answer.startsWith("ACK")) {
                    kit.log(label + ": says yes");
                    return kit.millis();
                }
            } catch (IOException e) {
                // the process does not listen yet
            }
            Kit.sleep(20);
        }
        throw new Kit.CannotRun(label + " did not say yes");
    }

    /**
     * Opens the clients' listening socket and makes it descriptor 0 of this process, which its children inherit, as the
     * platform does.
     */
    private static int inheritableSocket() throws Exception {
        ServerSocketChannel listening = ServerSocketChannel.open().bind(new InetSocketAddress(Kit.HOST, 0), 512);
        Field descriptor = Class.forName("sun.nio.ch.ServerSocketChannelImpl").getDeclaredField("fdVal");
        Method dup2 = Class.forName("sun.nio.ch.InheritedChannel").getDeclaredMethod("dup2", int.class, int.class);
        descriptor.setAccessible(true);
        dup2.setAccessible(true);
        dup2.invoke(null, descriptor.getInt(listening), 0);
        return ((InetSocketAddress) listening.getLocalAddress()).getPort();
    }
}
