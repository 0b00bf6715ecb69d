import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * On one of three AMQP feed servers another program takes a share of the machine, on and off: is the client that sends
 * orders to it cut off?
 */
public final class SlowFeedServer {
    private static final int FEED_SERVERS = 3;
    private static final int ROUNDS = 200;
    private static final int ORDERS_PER_ROUND = 4;
    private static final long ROUND_MILLIS = 100;
    private static final double SHARE_TAKEN = 0.74;
    private static final long ON_MILLIS = 3000;
    private static final long OFF_MILLIS = 2000;

    private SlowFeedServer() {}

    public static void main(String[] args) {
        Bench.main(args[0], SlowFeedServer::run);
    }

    private static int run(Bench bench) throws Exception {
        Discovery discovery = new Discovery(bench);
        List<AmqpFeedServer> servers = new ArrayList<>();
        for (int i = 1; i <= FEED_SERVERS; i++) {
            AmqpFeedServer server = new AmqpFeedServer(bench, "s-" + i);
            server.start();
            discovery.add("s-" + i, server.port());
            servers.add(server);
        }
        discovery.start();
        int amqpPort = Bench.freePort();
        Path root = bench.root("amqp.toml", "enabled = true\nlisten = \"127.0.0.1:" + amqpPort + "\"\n");
        bench.startRelay(root, 0, 1, Bench.freePort(), discovery);
        Bench.sleep(1000);
        AmqpClient client = new AmqpClient(bench, "tablet", amqpPort, "tablet-1", "key-1", 3000);
        client.attached.await(4, TimeUnit.SECONDS);
        if (!client.up) {
            return Bench.CANNOT_RUN;
        }
        if (bench.trouble) {
            AmqpFeedServer troubled =
                    servers.stream().filter(server -> server.attached).findFirst().orElseThrow();
            Bench.daemon("other program", () -> {
                while (true) {
                    Bench.sleep(OFF_MILLIS);
                    bench.note("another program takes 74% of the machine of the client's feed server");
                    troubled.shareTaken = SHARE_TAKEN;
                    Bench.sleep(ON_MILLIS);
                    troubled.shareTaken = 0;
                    bench.note("the other program takes nothing");
                }
            });
        }
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < ROUNDS && client.peer().ended.getCount() > 0; i++) {
            for (int j = 0; j < ORDERS_PER_ROUND; j++) {
                String order = "order " + (sent.size() + 1);
                if (client.send(order)) {
                    sent.add(order);
                }
            }
            Bench.sleep(ROUND_MILLIS);
        }
        Bench.sleep(3000);
        boolean cut = client.peer().ended.getCount() == 0 && !client.moved;
        int unanswered = 0;
        for (String order : sent) {
            if (!client.outcomes.containsKey(order)) {
                unanswered++;
                boolean received = servers.stream().anyMatch(server -> server.received.contains(order));
                bench.note("no outcome for \"" + order + "\", which " + (received ? "a" : "no")
                        + " feed server has received");
            }
        }
        if (cut) {
            bench.note("LOST: the client's connection was cut off without the close that stands for MOVE, while its feed"
                    + " server still answered");
        }
        bench.noteLog("n0");
        bench.note("orders sent " + sent.size() + ", without an outcome " + unanswered + ", connection "
                + (cut ? "cut off" : client.moved ? "moved" : "open"));
        return cut ? Bench.BROKEN : Bench.HELD;
    }
}
