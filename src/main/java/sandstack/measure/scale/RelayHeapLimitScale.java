package sandstack.measure.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sandstack.measure.scale.Series.Point;

/**
 * How many connections one real relay takes with the flags of {@code run} and how it stops there, by the size of its
 * heap. Only with {@link ScaleMeasurement.Effort#FULL}.
 */
public final class RelayHeapLimitScale implements ScaleMeasurement {
    private static final String METHOD =
            "one relay process as run starts it with this heap, two stand-in feed servers, "
                    + "clients that come until the relay takes no more of them or its descriptors are used up; ";
    private static final int[] HEAP_MEGABYTES = {24, 32, 48};
    /** More than the descriptors that the relay is told of allow. */
    private static final int CONNECTION_TARGET = 9_900;

    private static final long SETTLE_MILLIS = 1_500;
    /** So many leave after the stop, and as many come again: does the relay serve on? */
    private static final int RECONNECTING_CLIENTS = 200;

    private final Path jar;

    /** Measures the program that was built in the working directory. */
    public RelayHeapLimitScale() {
        this(Path.of("target/sandstack.jar"));
    }

    /**
     * Measures relays of this program.
     *
     * @param jar the program that the relay is started from
     */
    public RelayHeapLimitScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "relay-heap-limit";
    }

    /**
     * How it ended with one heap.
     *
     * @param established connections when it took no more
     * @param rejected told so by the relay
     * @param failed that came without an answer
     * @param lost of those that stood
     * @param unresponsive of those that still stand, those whose client does not hear a line that the feed server sends
     * @param outOfMemoryLogLines lines of its log that name an OutOfMemoryError
     * @param reconnected of {@value #RECONNECTING_CLIENTS} that came after as many had left
     */
    record Exhaustion(
            int established,
            long rejected,
            long failed,
            long lost,
            long unresponsive,
            long outOfMemoryLogLines,
            long reconnected,
            boolean alive) {}

    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort != Effort.FULL) {
            return List.of();
        }
        List<Point> standing = new ArrayList<>();
        List<Point> refused = new ArrayList<>();
        List<Point> failed = new ArrayList<>();
        List<Point> lost = new ArrayList<>();
        List<Point> mute = new ArrayList<>();
        List<Point> errors = new ArrayList<>();
        List<Point> again = new ArrayList<>();
        for (int megabytes : HEAP_MEGABYTES) {
            Exhaustion stop = fill(megabytes);
            standing.add(new Point(megabytes, stop.established()));
            refused.add(new Point(megabytes, stop.rejected()));
            failed.add(new Point(megabytes, stop.failed()));
            lost.add(new Point(megabytes, stop.lost()));
            mute.add(new Point(megabytes, stop.unresponsive()));
            errors.add(new Point(megabytes, stop.outOfMemoryLogLines()));
            again.add(new Point(megabytes, stop.reconnected()));
        }
        return List.of(
                series("relay.heap-limit.standing", "connections", "those that stood then", standing),
                series("relay.heap-limit.refused", "requests", "those that the relay refused in a word", refused),
                series("relay.heap-limit.failed", "requests", "those that had no answer", failed),
                series("relay.heap-limit.lost", "connections", "those that had stood and broke", lost),
                series(
                        "relay.heap-limit.mute",
                        "connections",
                        "those that still stood and through which a line of the feed server did not pass any more",
                        mute),
                series("relay.heap-limit.out-of-memory", "lines", "lines of its log with OutOfMemoryError", errors),
                series(
                        "relay.heap-limit.served-again",
                        "connections",
                        "of " + RECONNECTING_CLIENTS + " that came after as many had left, those that stood",
                        again));
    }

    private static Series series(String id, String unit, String detail, List<Point> points) {
        return new Series(
                id, Role.RELAY_CONNECTIONS, Resource.STATE, unit, "megabytes of heap", METHOD + detail, points);
    }

    /** Fills one relay until it stops. */
    Exhaustion fill(int megabytes) throws Exception {
        List<String> heap = List.of("-Xms" + Math.min(32, megabytes) + "m", "-Xmx" + megabytes + "m");
        try (RelayUnderLoad load = new RelayUnderLoad(jar, heap)) {
            DeliveryLoad deliveries = load.loop().on(() -> new DeliveryLoad(load.loop(), load.clients()));
            ClientPool.Counts atLimit = load.growTo(CONNECTION_TARGET);
            RelayUnderLoad.pause(SETTLE_MILLIS);
            ClientPool.Counts after = load.loop().on(load.clients()::counts);
            long unresponsive = unresponsiveConnections(load, deliveries);
            long reconnectedClients = reconnected(load, after);
            return new Exhaustion(
                    atLimit.established(),
                    after.rejected(),
                    after.failed(),
                    after.lost(),
                    unresponsive,
                    load.relay().log().stream()
                            .filter(line -> line.contains("OutOfMemoryError"))
                            .count(),
                    reconnectedClients,
                    load.relay().isAlive());
        }
    }

    private static long unresponsiveConnections(RelayUnderLoad load, DeliveryLoad deliveries)
            throws InterruptedException {
        load.loop().run(() -> deliveries.sendOneToEach(load.feedServers()));
        RelayUnderLoad.pause(SETTLE_MILLIS);
        DeliveryLoad.Result result = load.loop().on(deliveries::result);
        return result.sent() - result.arrived();
    }

    private static long reconnected(RelayUnderLoad load, ClientPool.Counts before) throws InterruptedException {
        if (!load.relay().isAlive()) {
            return 0;
        }
        load.loop().run(() -> load.clients().resetOldest(RECONNECTING_CLIENTS));
        RelayUnderLoad.pause(SETTLE_MILLIS);
        int remaining = load.loop().on(load.clients()::counts).established();
        return load.growTo(remaining + RECONNECTING_CLIENTS).accepted() - before.accepted();
    }
}
