package sandstack.measure.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sandstack.measure.RelayProcess;
import sandstack.measure.scale.Series.Point;

/**
 * Processor time and delay per line that a relay forwards from a feed server to a client, and processor time of idle
 * connections.
 */
public final class RelayDeliveryScale implements ScaleMeasurement {
    private static final String METHOD =
            "one relay process as run starts it but with a heap of 512 MB, two stand-in feed "
                    + "servers that send lines of " + DeliveryLoad.LINE_BYTES
                    + " bytes to their clients in turn on loopback, ";
    private static final String PROCESSOR_METHOD =
            "processor time of the relay's threads less that of an idle relay, over the lines that arrived";
    private static final String DELAY_METHOD =
            "from the feed server's writing to the client's reading, by HdrHistogram; both "
                    + "share one thread, whose hold-ups are in it";
    private static final int[] CONNECTIONS_QUICK = {500, 1_000, 2_000};
    private static final int[] CONNECTIONS_FULL = {1_000, 4_000, 9_000};
    private static final long[] RATES_QUICK = {1_000, 4_000};
    private static final long[] RATES_FULL = {1_000, 2_000, 4_000, 8_750};
    /** Delivery rate while the number of connections varies. */
    private static final long LINES_PER_SECOND = 2_000;

    private static final long WARM_UP_MILLIS = 400;
    private static final long DELIVER_MILLIS_QUICK = 400;
    private static final long DELIVER_MILLIS_FULL = 5_000;
    private static final long IDLE_MILLIS_QUICK = 300;
    private static final long IDLE_MILLIS_FULL = 4_000;
    /** Pause after the last line is sent; lines that have not arrived by its end count as lost. */
    private static final long ARRIVAL_WAIT_MILLIS = 100;

    private final Path jar;

    /** Measures the build of the working directory. */
    public RelayDeliveryScale() {
        this(RelayProcess.BUILT_JAR);
    }

    /**
     * Measures another build.
     *
     * @param jar build that the relay is started from
     */
    public RelayDeliveryScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "relay-delivery";
    }

    /** The points of all series that vary one size, the number of connections or the rate. */
    private static final class PointsBySize {
        final List<Point> processor = new ArrayList<>();
        final List<Point> median = new ArrayList<>();
        final List<Point> p99 = new ArrayList<>();

        void add(double size, Sample sample) {
            processor.add(new Point(size, sample.microsPerLine()));
            median.add(new Point(size, sample.delays().medianMicros()));
            p99.add(new Point(size, sample.delays().p99Micros()));
        }

        List<Series> series(String idSuffix, String per, String method) {
            return List.of(
                    deliverySeries(
                            "processor" + idSuffix,
                            Resource.PROCESSOR,
                            "microseconds a delivery",
                            per,
                            method + PROCESSOR_METHOD,
                            processor),
                    deliverySeries(
                            "delay-median" + idSuffix,
                            Resource.LATENCY,
                            "microseconds",
                            per,
                            method + "half of all: " + DELAY_METHOD,
                            median),
                    deliverySeries(
                            "delay-99th" + idSuffix,
                            Resource.LATENCY,
                            "microseconds",
                            per,
                            method + "99 in 100: " + DELAY_METHOD,
                            p99));
        }
    }

    /** Processor time per line, and delays, in one measurement period. */
    private record Sample(double microsPerLine, DeliveryLoad.Result delays) {}

    /** Starts a process, so returns no series with {@link Effort#SMALL}. */
    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort == Effort.SMALL) {
            return List.of();
        }
        boolean full = effort == Effort.FULL;
        long millis = full ? DELIVER_MILLIS_FULL : DELIVER_MILLIS_QUICK;
        List<Point> idle = new ArrayList<>();
        PointsBySize byConnections = new PointsBySize();
        PointsBySize byRate = new PointsBySize();
        try (RelayUnderLoad load = new RelayUnderLoad(jar, RelayUnderLoad.LARGE_MEMORY_OPTIONS)) {
            DeliveryLoad deliveries = load.loop().call(() -> new DeliveryLoad(load.loop(), load.clients()));
            double idleMicros = 0;
            for (int connections : full ? CONNECTIONS_FULL : CONNECTIONS_QUICK) {
                load.establish(connections);
                if (full || idle.isEmpty()) {
                    deliver(load, deliveries, LINES_PER_SECOND, WARM_UP_MILLIS, 0);
                }
                idleMicros = idleCpuMicrosPerSecond(load, full ? IDLE_MILLIS_FULL : IDLE_MILLIS_QUICK);
                idle.add(new Point(connections, idleMicros));
                byConnections.add(connections, deliver(load, deliveries, LINES_PER_SECOND, millis, idleMicros));
            }
            for (long rate : full ? RATES_FULL : RATES_QUICK) {
                byRate.add((double) rate, deliver(load, deliveries, rate, millis, idleMicros));
            }
        }
        List<Series> all = new ArrayList<>();
        all.add(deliverySeries(
                "idle-processor",
                Resource.PROCESSOR,
                "microseconds a second",
                "connections",
                METHOD + "processor time of the relay's threads while nothing passes",
                idle));
        all.addAll(byConnections.series("", "connections", METHOD + LINES_PER_SECOND + " lines a second; "));
        int maxConnections =
                full ? CONNECTIONS_FULL[CONNECTIONS_FULL.length - 1] : CONNECTIONS_QUICK[CONNECTIONS_QUICK.length - 1];
        all.addAll(byRate.series("-by-rate", "deliveries a second", METHOD + maxConnections + " connections; "));
        return all;
    }

    private static Series deliverySeries(
            String id, Resource resource, String unit, String per, String method, List<Point> points) {
        return new Series("relay.delivery." + id, Role.RELAY_CONNECTIONS, resource, unit, per, method, points);
    }

    /** Processor time of an idle relay, in microseconds per second. */
    private static double idleCpuMicrosPerSecond(RelayUnderLoad load, long millis)
            throws IOException, InterruptedException {
        ProcessUsage before = load.usage();
        long startNanos = System.nanoTime();
        RelayUnderLoad.pause(millis);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        return load.usage().processorMicrosSince(before) / seconds;
    }

    /**
     * Delivers lines at a rate for a period.
     *
     * @param idleMicros processor time of the idle relay per second, which is subtracted
     */
    private static Sample deliver(
            RelayUnderLoad load, DeliveryLoad deliveries, long rate, long millis, double idleMicros)
            throws IOException, InterruptedException {
        load.loop().run(deliveries::reset);
        ProcessUsage before = load.usage();
        long startNanos = System.nanoTime();
        load.loop().run(() -> deliveries.start(load.feedServers(), rate));
        RelayUnderLoad.pause(millis);
        load.loop().run(deliveries::stop);
        RelayUnderLoad.pause(ARRIVAL_WAIT_MILLIS);
        double idle = idleMicros * (System.nanoTime() - startNanos) / 1e9;
        double busyMicros = load.usage().processorMicrosSince(before) - idle;
        DeliveryLoad.Result result = load.loop().call(deliveries::result);
        if (result.arrived() < result.sent()) {
            throw new IllegalStateException("lost deliveries: " + result);
        }
        return new Sample(busyMicros / result.arrived(), result);
    }
}
