import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One client with its successive connections: sent MOVE, it comes again after 150 to 1,600 ms, at another relay. */
final class Shop {
    private final Bench bench;
    private final String name;
    private final String group;
    private final int[] ports;
    private final Random random;
    final List<LineClient> connections = new CopyOnWriteArrayList<>();

    /** @param ports the relays; the first connection goes to the first of them, later ones to the others in turn */
    Shop(Bench bench, int number, int... ports) {
        this.bench = bench;
        this.name = "c" + (100 + number);
        this.group = "shop-" + number;
        this.ports = ports;
        this.random = new Random(number);
    }

    /** Opens the first connection; further ones follow after each MOVE. */
    void open() throws IOException {
        connect("");
        Bench.daemon("client " + name, () -> {
            while (true) {
                LineClient latest = connections.get(connections.size() - 1);
                latest.ended.await();
                if (!latest.lastLine().equals("MOVE")) {
                    return;
                }
                Bench.sleep(150 + random.nextInt(1450));
                connect(",again=1");
            }
        });
    }

    private void connect(String parameter) throws IOException {
        int count = connections.size();
        LineClient connection = new LineClient(bench, name + "-" + count, "key-" + name);
        int port = ports[count == 0 || ports.length == 1 ? 0 : 1 + (count - 1) % (ports.length - 1)];
        connection.start(port, "c=order-status,d=3000,g=" + group + parameter);
        connections.add(connection);
    }

    boolean isUp() throws InterruptedException {
        LineClient first = connections.get(0);
        first.answered.await(4, TimeUnit.SECONDS);
        return first.answer.startsWith("UP");
    }
}
