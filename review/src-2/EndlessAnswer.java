import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One of eight AMQP feed servers gives a spoilt answer that does not end: instead of the attach, it begins one session
 * after another, on the channels that the relay's open allows. The others are sound, and clients come in a burst.
 */
final class EndlessAnswer {
    private static final int FEED_SERVERS = 8;
    private static final int CLIENTS = 24;
    private static final long CLIENT_INTERVAL_MILLIS = 100;
    /** The highest channel; the relay's open names none, and AMQP's default is this. */
    private static final int CHANNEL_MAX = 65_535;
    /** The relay's open allows frames of 15,360 bytes. */
    private static final int PROPERTY_BYTES = 14_000;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, EndlessAnswer::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Discovery discovery = new Discovery(kit);
        for (int i = 1; i < FEED_SERVERS; i++) {
            discovery.put("feed-" + i, new AmqpPeer.Server(kit, "feed-" + i).port(), "ready");
        }
        String last = "feed-" + FEED_SERVERS;
        if (Kit.TROUBLE) {
            ServerSocket spoilt = Kit.listen();
            Kit.go(() -> serve(kit, spoilt));
            discovery.put(last, spoilt.getLocalPort(), "ready");
        } else {
            discovery.put(last, new AmqpPeer.Server(kit, last).port(), "ready");
        }
        int listen = Kit.freePort();
        int amqp = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        Process relay = kit.startRelay(
                "relay", kit.rootWithAmqp(amqp), Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        Kit.sleep(500);
        List<AmqpPeer.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS && relay.isAlive(); i++) {
            try {
                clients.add(new AmqpPeer.Client(kit, "tablet-" + i, amqp, "tablet-" + i, "orders", false, null));
            } catch (IOException e) {
                kit.log("tablet-" + i + ": " + e);
            }
            Kit.sleep(CLIENT_INTERVAL_MILLIS);
        }
        for (int i = 0; i < 100 && relay.isAlive(); i++) {
            Kit.sleep(100);
        }
        Kit.sleep(500);
        int attached = 0;
        int cutOff = 0;
        for (AmqpPeer.Client client : clients) {
            attached += client.attached ? 1 : 0;
            cutOff += client.attached && client.peer.ended && client.peer.remoteClose == null ? 1 : 0;
        }
        kit.log("relay: " + (relay.isAlive() ? "up" : "ended with exit code " + relay.exitValue()) + "; clients attached: "
                + attached + " of " + CLIENTS + ", of these cut off without being told to move: " + cutOff);
        return relay.isAlive() && cutOff == 0;
    }

    private static void serve(Kit kit, ServerSocket server) {
        try {
            while (true) {
                Socket socket = server.accept();
                Kit.go(() -> answer(kit, socket));
            }
        } catch (IOException e) {
            // the case has ended
        }
    }

    private static void answer(Kit kit, Socket socket) {
        int sent = 0;
        try (socket) {
            OutputStream out = socket.getOutputStream();
            out.write(new byte[] {'A', 'M', 'Q', 'P', 0, 1, 0, 0});
            // open: container id "feed-8"
            out.write(frame(0, new byte[] {0, 0x53, 0x10, (byte) 0xc0, 9, 1, (byte) 0xa1, 6, 'f', 'e', 'e', 'd', '-', '8'}));
            byte[] begin = begin();
            for (; sent < CHANNEL_MAX; sent++) {
                out.write(frame(sent + 1, begin));
            }
            Kit.sleep(5000);
        } catch (IOException e) {
            // the relay has ended the connection
        }
        kit.log("feed-8: began " + sent + " sessions in one answer");
    }

    /** A begin with no remote channel, next outgoing id 0, windows of 100, and one property; within the relay's frame size. */
    private static byte[] begin() {
        ByteBuffer properties = ByteBuffer.allocate(9 + 3 + 5 + PROPERTY_BYTES);
        // a map with the symbol "k" and a string
        properties.put((byte) 0xd1).putInt(4 + 3 + 5 + PROPERTY_BYTES).putInt(2);
        properties.put((byte) 0xa3).put((byte) 1).put((byte) 'k');
        properties.put((byte) 0xb1).putInt(PROPERTY_BYTES).put("x".repeat(PROPERTY_BYTES).getBytes(StandardCharsets.US_ASCII));
        byte[] fields = {0x40, 0x43, 0x52, 100, 0x52, 100, 0x40, 0x40, 0x40};
        return ByteBuffer.allocate(3 + 9 + fields.length + properties.capacity())
                .put(new byte[] {0, 0x53, 0x11})
                .put((byte) 0xd0)
                .putInt(4 + fields.length + properties.capacity())
                .putInt(8)
                .put(fields)
                .put(properties.array())
                .array();
    }

    private static byte[] frame(int channel, byte[] body) {
        return ByteBuffer.allocate(8 + body.length)
                .putInt(8 + body.length)
                .put((byte) 2)
                .put((byte) 0)
                .putShort((short) channel)
                .put(body)
                .array();
    }
}
