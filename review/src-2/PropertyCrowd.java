import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A crowd of AMQP clients comes to a relay that serves clients of the line protocol. Each opens its connection, begins a
 * session with many properties, in one frame of the size that the relay allows, and is idle from then on.
 */
final class PropertyCrowd {
    private static final int FEED_SERVERS = 4;
    private static final int LINE_CLIENTS = 20;
    private static final int CROWD = 2000;
    /** The relay's open allows frames of 15,360 bytes. */
    private static final int FRAME_BYTES = 15_000;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, PropertyCrowd::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Discovery discovery = new Discovery(kit);
        for (int i = 1; i <= FEED_SERVERS; i++) {
            discovery.put("feed-" + i, new FeedServer(kit, "feed-" + i).port(), "ready");
        }
        int listen = Kit.freePort();
        int amqp = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        Process relay = kit.startRelay(
                "relay", kit.rootWithAmqp(amqp), Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        Kit.sleep(500);
        List<LineClient> clients = new ArrayList<>();
        for (int i = 0; i < LINE_CLIENTS; i++) {
            clients.add(new LineClient(kit, listen, "line" + i, "c=order-status,d=3000,g=shop" + i));
            Kit.sleep(50);
        }
        Kit.sleep(1000);
        int up = 0;
        for (LineClient client : clients) {
            up += client.isUp() ? 1 : 0;
        }
        if (up < LINE_CLIENTS) {
            throw new Kit.CannotRun("only " + up + " clients of the line protocol are up");
        }
        if (Kit.TROUBLE) {
            bringCrowd(kit, relay, amqp);
        }
        for (int i = 0; i < 50 && relay.isAlive(); i++) {
            Kit.sleep(100);
        }
        Kit.sleep(500);
        int cutOff = 0;
        for (LineClient client : clients) {
            cutOff += client.end != null && !client.wasMoved() ? 1 : 0;
        }
        kit.log("relay: " + (relay.isAlive() ? "up" : "ended with exit code " + relay.exitValue()) + "; clients of the line"
                + " protocol cut off without MOVE: " + cutOff + " of " + LINE_CLIENTS);
        return relay.isAlive() && cutOff == 0;
    }

    private static void bringCrowd(Kit kit, Process relay, int amqp) {
        byte[] header = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};
        // open: container id "c"
        byte[] open = frame(new byte[] {0, 0x53, 0x10, (byte) 0xc0, 4, 1, (byte) 0xa1, 1, 'c'});
        byte[] begin = frame(begin());
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD && relay.isAlive(); i++) {
            try {
                Socket socket = new Socket();
                crowd.add(socket);
                socket.connect(new InetSocketAddress(Kit.HOST, amqp), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(header);
                socket.getOutputStream().write(open);
                // the relay's header and its open, which allows the frame that follows
                DataInputStream in = new DataInputStream(socket.getInputStream());
                in.readNBytes(8);
                in.readNBytes(in.readInt() - 4);
                socket.getOutputStream().write(begin);
                Kit.go(() -> readAll(socket));
            } catch (IOException e) {
                // the relay has turned the client away, or has ended
            }
        }
        kit.log("crowd: " + crowd.size() + " AMQP clients came, each with one begin of " + begin.length + " bytes");
    }

    private static void readAll(Socket socket) {
        try (socket) {
            socket.setSoTimeout(0);
            while (socket.getInputStream().read() >= 0) {
                // the crowd reads whatever is sent to it
            }
        } catch (IOException e) {
            // the relay has ended the connection
        }
    }

    /** A begin with no remote channel, next outgoing id 0, windows of 100, and as many properties as fit. */
    private static byte[] begin() {
        ByteBuffer entries = ByteBuffer.allocate(FRAME_BYTES);
        int count = 0;
        while (entries.position() < FRAME_BYTES - 60) {
            // a symbol of three characters, and null
            String key = Integer.toString(Character.MAX_RADIX * Character.MAX_RADIX + count, Character.MAX_RADIX);
            entries.put((byte) 0xa3).put((byte) 3).put(key.getBytes(StandardCharsets.US_ASCII)).put((byte) 0x40);
            count++;
        }
        byte[] fields = {0x40, 0x43, 0x52, 100, 0x52, 100, 0x40, 0x40, 0x40};
        return ByteBuffer.allocate(3 + 9 + fields.length + 9 + entries.position())
                .put(new byte[] {0, 0x53, 0x11})
                .put((byte) 0xd0)
                .putInt(4 + fields.length + 9 + entries.position())
                .putInt(8)
                .put(fields)
                .put((byte) 0xd1)
                .putInt(4 + entries.position())
                .putInt(2 * count)
                .put(entries.array(), 0, entries.position())
                .array();
    }

    private static byte[] frame(byte[] body) {
        return ByteBuffer.allocate(8 + body.length)
                .putInt(8 + body.length)
                .put((byte) 2)
                .put((byte) 0)
                .putShort((short) 0)
                .put(body)
                .array();
    }
}
