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
    private static final int[] HEAPS_MB = {24, 32, 48};
    /** More than the descriptors that the relay is told of allow. */
    private static final int MORE_THAN_FIT = 9_900;

    private static final long AFTERMATH_MILLIS = 1_500;
    /** So many leave after the stop, and as many come again: does the relay serve on? */
    private static final int COME_AGAIN = 200;

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
     * @param standing connections when it took no more
     * @param refused told so by the relay
     * @param failed that came without an answer
     * @param lost of those that stood
     * @param mute of those that still stand, those whose client does not hear a line that the feed server sends
     * @param outOfMemory lines of its log that name an OutOfMemoryError
     * @param servedAgain of {@value #COME_AGAIN} that came after as many had left
     */
    record Stop(
            int standing,
            long refused,
            long failed,
            long lost,
            long mute,
            long outOfMemory,
            long servedAgain,
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
        for (int megabytes : HEAPS_MB) {
            Stop stop = fill(megabytes);
            standing.add(new Point(megabytes, stop.standing()));
            refused.add(new Point(megabytes, stop.refused()));
            failed.add(new Point(megabytes, stop.failed()));
            lost.add(new Point(megabytes, stop.lost()));
            mute.add(new Point(megabytes, stop.mute()));
            errors.add(new Point(megabytes, stop.outOfMemory()));
            again.add(new Point(megabytes, stop.servedAgain()));
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
                        "of " + COME_AGAIN + " that came after as many had left, those that stood",
                        again));
    }

    private static Series series(String id, String unit, String how, List<Point> points) {
        return new Series(id, Role.RELAY_CONNECTIONS, Resource.STATE, unit, "megabytes of heap", METHOD + how, points);
    }

    /** Fills one relay until it stops. */
    Stop fill(int megabytes) throws Exception {
        List<String> heap = List.of("-Xms" + Math.min(32, megabytes) + "m", "-Xmx" + megabytes + "m");
        try (RelayUnderLoad load = new RelayUnderLoad(jar, heap)) {
            DeliveryLoad deliveries = load.yard().on(() -> new DeliveryLoad(load.yard(), load.clients()));
            ClientPool.Count full = load.growTo(MORE_THAN_FIT);
            RelayUnderLoad.pause(AFTERMATH_MILLIS);
            ClientPool.Count after = load.yard().on(load.clients()::count);
            long mute = mute(load, deliveries);
            long servedAgain = servedAgain(load, after);
            return new Stop(
                    full.standing(),
                    after.refused(),
                    after.failed(),
                    after.lost(),
                    mute,
                    load.relay().log().stream()
                            .filter(line -> line.contains("OutOfMemoryError"))
                            .count(),
                    servedAgain,
                    load.relay().isAlive());
        }
    }

    private static long mute(RelayUnderLoad load, DeliveryLoad deliveries) throws InterruptedException {
        load.yard().run(() -> deliveries.sendOneToEach(load.feedServers()));
        RelayUnderLoad.pause(AFTERMATH_MILLIS);
        DeliveryLoad.Result result = load.yard().on(deliveries::result);
        return result.sent() - result.arrived();
    }

    private static long servedAgain(RelayUnderLoad load, ClientPool.Count before) throws InterruptedException {
        if (!load.relay().isAlive()) {
            return 0;
        }
        load.yard().run(() -> load.clients().abort(COME_AGAIN));
        RelayUnderLoad.pause(AFTERMATH_MILLIS);
        int stay = load.yard().on(load.clients()::count).standing();
        return load.growTo(stay + COME_AGAIN).served() - before.served();
    }
}
