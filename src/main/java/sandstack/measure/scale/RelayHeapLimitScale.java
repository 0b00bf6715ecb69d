package sandstack.measure.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import sandstack.measure.RelayProcess;

/**
 * Behaviour of a relay whose heap or file descriptors are exhausted, by heap size: starts the relay with the options of
 * the {@code run} command except the heap size, and connects clients until it accepts no more. Runs with
 * {@link ScaleMeasurement.Effort#FULL} only.
 */
public final class RelayHeapLimitScale implements ScaleMeasurement {
    private static final String METHOD =
            "one relay process as run starts it with this heap, two stand-in feed servers, "
                    + "clients that come until the relay takes no more of them or its descriptors are used up; ";
    private static final int[] HEAP_MEGABYTES = {24, 32, 48};
    /** More connections than the configured file descriptors allow. */
    private static final int CONNECTION_TARGET = 9_900;

    private static final long SETTLE_MILLIS = 1_500;
    /** Number of clients that disconnect at the limit and are replaced by as many new ones. */
    private static final int RECONNECTING_CLIENTS = 200;

    private final Path jar;

    /** Measures the build of the working directory. */
    public RelayHeapLimitScale() {
        this(RelayProcess.BUILT_JAR);
    }

    /**
     * Measures another build.
     *
     * @param jar build that the relay is started from
     */
    public RelayHeapLimitScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "relay-heap-limit";
    }

    /**
     * State of a relay whose heap or file descriptors are exhausted.
     *
     * @param heapMegabytes maximum size of its heap
     * @param established connections when it accepted no more
     * @param rejected attempts that it rejected
     * @param failed attempts without a response, or with an invalid one
     * @param lost established connections that the relay closed, reset or asked to migrate
     * @param unresponsive established connections on which a line from the feed server did not arrive
     * @param outOfMemoryLogLines log lines with OutOfMemoryError
     * @param reconnected number of clients accepted after {@value #RECONNECTING_CLIENTS} had disconnected and as many
     *     new ones had tried to connect
     * @param alive whether its process was still running
     */
    record Exhaustion(
            int heapMegabytes,
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
        List<Exhaustion> results = new ArrayList<>();
        for (int megabytes : HEAP_MEGABYTES) {
            results.add(fill(megabytes));
        }
        return List.of(
                series("standing", "connections", "those that stood then", results, Exhaustion::established),
                series("refused", "requests", "those that the relay refused in a word", results, Exhaustion::rejected),
                series("failed", "requests", "those that had no answer", results, Exhaustion::failed),
                series("lost", "connections", "those that had stood and broke", results, Exhaustion::lost),
                series(
                        "mute",
                        "connections",
                        "those that still stood and through which a line of the feed server did not pass any more",
                        results,
                        Exhaustion::unresponsive),
                series(
                        "out-of-memory",
                        "lines",
                        "lines of its log with OutOfMemoryError",
                        results,
                        Exhaustion::outOfMemoryLogLines),
                series(
                        "served-again",
                        "connections",
                        "of " + RECONNECTING_CLIENTS + " that came after as many had left, those that stood",
                        results,
                        Exhaustion::reconnected));
    }

    private static Series series(
            String id, String unit, String detail, List<Exhaustion> results, ToDoubleFunction<Exhaustion> value) {
        return new Series(
                "relay.heap-limit." + id,
                Role.RELAY_CONNECTIONS,
                Resource.STATE,
                unit,
                "megabytes of heap",
                METHOD + detail,
                Series.points(results, Exhaustion::heapMegabytes, value));
    }

    /** Connects clients to one relay until it accepts no more. */
    Exhaustion fill(int megabytes) throws Exception {
        List<String> heap = List.of("-Xms" + Math.min(32, megabytes) + "m", "-Xmx" + megabytes + "m");
        try (RelayUnderLoad load = new RelayUnderLoad(jar, heap)) {
            DeliveryLoad deliveries = load.loop().call(() -> new DeliveryLoad(load.loop(), load.clients()));
            ClientPool.Counts atLimit = load.growTo(CONNECTION_TARGET);
            RelayUnderLoad.pause(SETTLE_MILLIS);
            ClientPool.Counts after = load.loop().call(load.clients()::counts);
            long unresponsive = unresponsiveConnections(load, deliveries);
            long reconnectedClients = reconnected(load, after);
            return new Exhaustion(
                    megabytes,
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
        DeliveryLoad.Result result = load.loop().call(deliveries::result);
        return result.sent() - result.arrived();
    }

    private static long reconnected(RelayUnderLoad load, ClientPool.Counts before) throws InterruptedException {
        if (!load.relay().isAlive()) {
            return 0;
        }
        load.loop().run(() -> load.clients().resetOldest(RECONNECTING_CLIENTS));
        RelayUnderLoad.pause(SETTLE_MILLIS);
        int remaining = load.loop().call(load.clients()::counts).established();
        return load.growTo(remaining + RECONNECTING_CLIENTS).accepted() - before.accepted();
    }
}
