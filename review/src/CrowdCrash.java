import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A crowd of AMQP clients connects and stops half way: does the relay stay up, with the clients that it serves? */
public final class CrowdCrash {
    private static final int FEED_SERVERS = 3;
    private static final int CLIENTS = 20;
    private static final long CROWD_MILLIS = 6_000;

    private CrowdCrash() {}

    public static void main(String[] args) {
        Bench.main(args[0], CrowdCrash::run);
    }

    private static int run(Bench bench) throws Exception {
        Discovery discovery = new Discovery(bench);
        LineFeedServer.start(bench, discovery, FEED_SERVERS, 0);
        discovery.start();
        int port = Bench.freePort();
        int amqpPort = Bench.freePort();
        Path root = bench.root("amqp.toml", "enabled = true\nlisten = \"127.0.0.1:" + amqpPort + "\"\n");
        Process relay = bench.startRelay(root, 0, 1, port, discovery);
        List<Shop> shops = new ArrayList<>();
        int up = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Shop shop = new Shop(bench, i, port);
            shop.open();
            up += shop.isUp() ? 1 : 0;
            shops.add(shop);
            Bench.sleep(100);
        }
        bench.note(up + " of " + CLIENTS + " connections of the line protocol are up");
        if (up < CLIENTS / 2) {
            return Bench.CANNOT_RUN;
        }
        Bench.sleep(3000);
        if (bench.trouble) {
            new Crowd(bench, amqpPort).run(CROWD_MILLIS);
        } else {
            Bench.sleep(CROWD_MILLIS);
        }
        Bench.sleep(3000);
        boolean crashed = !relay.isAlive();
        if (crashed) {
            bench.note("CRASH: the relay has exited with " + relay.exitValue());
        }
        int cut = 0;
        for (Shop shop : shops) {
            for (LineClient connection : shop.connections) {
                if (connection.answer.startsWith("UP")
                        && !connection.end.isEmpty()
                        && !connection.lastLine().equals("MOVE")) {
                    cut++;
                    bench.note("LOST: connection " + connection.id + " was cut off without MOVE");
                }
            }
        }
        bench.noteLog("n0");
        bench.note("relay " + (crashed ? "crashed" : "up") + ", connections up " + up + ", cut off without MOVE " + cut);
        return crashed || cut > 0 ? Bench.BROKEN : Bench.HELD;
    }
}
