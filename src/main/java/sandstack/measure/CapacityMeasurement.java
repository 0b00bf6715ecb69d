package sandstack.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;

/**
 * {@code measure capacity}: relays that have to estimate the capacity of their feed servers, without stated capacities:
 * with idle connections, with servers of different capacities, and with servers that lose processor time to a
 * neighbour.
 */
final class CapacityMeasurement implements Measurement {
    /** Log line of a rejection with its reason and attempts, also in the wording of earlier builds. */
    private static final Pattern REJECTION_LINE =
            Pattern.compile("(?:was answered (?:REFUSED|REJECTED) |answer=REJECTED reason=)([A-Z_]+)"
                    + " (?:retry_after_ms=)?[0-9]+ (?:after |attempts=)([0-9]+)");

    private static final Map<String, String> NO_DEPLOY_FILES = Map.of();
    /** The platform's heap is too small for ten thousand connections. */
    private static final List<String> LARGE_MEMORY_OPTIONS = List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m");

    private static final int MAX_CLIENTS_WITH_DEFAULT_HEAP = 1000;
    private static final int IDLE_BATCH = 7;
    private static final double IDLE_ARRIVALS_PER_SECOND = 700;
    private static final int MAX_ANSWER_POLLS = 100;
    private static final double ANSWER_POLL_SECONDS = 0.05;
    private static final int SERVERS = 10;
    private static final int CAPACITY_STEP = 20;
    private static final double SAMPLES_PER_SECOND = 4;
    private static final int NEIGHBOUR_SERVERS = 6;
    private static final int SERVERS_WITH_NEIGHBOUR = 2;
    private static final double NEIGHBOUR_LOAD = 0.74;
    private static final double NEIGHBOUR_CONCURRENCY = 240;
    private static final double NEIGHBOUR_LIFETIME_SECONDS = 6;
    private static final long LINE_INTERVAL_MICROS = 200_000;
    private static final long LATE_LINE_MICROS = 150_000;
    private static final double MICROS_PER_MILLI = 1000.0;

    @Override
    public List<MetricResult> run(Options options, ProgressListener progress) throws Exception {
        List<MetricResult> results = new ArrayList<>();
        measureIdleConnections(options, 100, results, progress);
        measureIdleConnections(options, 1000, results, progress);
        measureUnknownCapacities(options, results, progress);
        double linesInTime = measureNoisyNeighbour(options, options.jar(), "", results, progress);
        if (options.baselineJar() != null) {
            double baselineLinesInTime =
                    measureNoisyNeighbour(options, options.baselineJar(), ", other build", results, progress);
            results.add(MetricResult.atLeast(
                    "neighbour: lines in time against the other build",
                    linesInTime / Math.max(baselineLinesInTime, 1),
                    1));
        }
        if (!options.quick()) {
            // last, as its closed sockets keep their ports in TIME_WAIT for a minute
            measureIdleConnections(options, 9800, results, progress);
        }
        return results;
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    /** Opens connections that stay idle; all of them have to be established. */
    private static void measureIdleConnections(
            Options options, int clients, List<MetricResult> results, ProgressListener progress) throws Exception {
        try (Testbed testbed = new Testbed()) {
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            List<String> jvmOptions = clients > MAX_CLIENTS_WITH_DEFAULT_HEAP ? LARGE_MEMORY_OPTIONS : List.of();
            testbed.startRelays(options.jar(), 1, NO_DEPLOY_FILES, jvmOptions);
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 20);
            connectInBatches(testbed, load, clients);
            OpenLoopLoad.Counts counts = awaitAllAnswered(testbed, load);
            progress.onProgress("idle, " + clients + " clients: " + counts);
            results.add(MetricResult.atLeast("idle: standing of " + clients, counts.established(), clients));
            results.add(MetricResult.atMost(
                    "idle: refused of " + clients, (double) (counts.rejected() + counts.failed()), 0));
        }
    }

    private static void connectInBatches(Testbed testbed, OpenLoopLoad load, int clients) throws InterruptedException {
        for (int sent = 0; sent < clients; sent += IDLE_BATCH) {
            int batch = Math.min(IDLE_BATCH, clients - sent);
            testbed.loop().run(() -> {
                for (int i = 0; i < batch; i++) {
                    load.connectOne();
                }
            });
            pause(IDLE_BATCH / IDLE_ARRIVALS_PER_SECOND);
        }
    }

    /** Waits until all attempts were answered, up to five seconds. */
    private static OpenLoopLoad.Counts awaitAllAnswered(Testbed testbed, OpenLoopLoad load)
            throws InterruptedException {
        OpenLoopLoad.Counts counts = testbed.loop().call(load::counts);
        for (int i = 0;
                i < MAX_ANSWER_POLLS && counts.accepted() + counts.rejected() + counts.failed() < counts.attempts();
                i++) {
            pause(ANSWER_POLL_SECONDS);
            counts = testbed.loop().call(load::counts);
        }
        return counts;
    }

    /** Durations of one load level, in seconds. */
    private record Timing(double meanLifetimeSeconds, double warmUpSeconds, double observedSeconds) {
        private static final Timing QUICK = new Timing(3, 5, 5);
        private static final Timing FULL = new Timing(10, 20, 20);
    }

    /** Ten servers of two kinds with different, unstated capacities; three relays that share nothing. */
    private static void measureUnknownCapacities(Options options, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            int totalCapacity = 0;
            for (int i = 0; i < SERVERS; i++) {
                int capacity = CAPACITY_STEP + i * CAPACITY_STEP;
                totalCapacity += capacity;
                testbed.addFeedServer(
                        i % 2 == 0 ? "old-box" : "new-box",
                        1,
                        ServerProfile.UNLIMITED.withConnectionLimit(capacity, i % 3 == 0));
            }
            testbed.startRelays(options.jar(), 3, NO_DEPLOY_FILES, List.of("-Dsandstack.log=FINE"));
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 40);
            Timing timing = options.quick() ? Timing.QUICK : Timing.FULL;
            measureBelowCapacity(testbed, load, totalCapacity, timing, results, progress);
            measureOverload(testbed, load, totalCapacity, timing, results, progress);
        }
    }

    private static void measureBelowCapacity(
            Testbed testbed,
            OpenLoopLoad load,
            int totalCapacity,
            Timing timing,
            List<MetricResult> results,
            ProgressListener progress)
            throws InterruptedException {
        setTargetConcurrency(testbed, load, 0.8 * totalCapacity, timing.meanLifetimeSeconds());
        pause(timing.warmUpSeconds());
        OpenLoopLoad.Counts before = testbed.loop().call(load::counts);
        long shedBefore = shedConnections(testbed);
        pause(timing.observedSeconds());
        OpenLoopLoad.Counts counts = testbed.loop().call(load::counts).since(before);
        long shed = shedConnections(testbed) - shedBefore;
        progress.onProgress("fleet at 80%: " + counts + ", shed " + shed);
        double answered = Math.max(1, counts.accepted() + counts.rejected() + counts.failed());
        results.add(MetricResult.atLeast("fleet at 80%: served share", counts.accepted() / answered, 0.99));
        results.add(MetricResult.atMost("fleet at 80%: shed after the start", (double) shed, 0));
    }

    private static void measureOverload(
            Testbed testbed,
            OpenLoopLoad load,
            int totalCapacity,
            Timing timing,
            List<MetricResult> results,
            ProgressListener progress)
            throws InterruptedException {
        setTargetConcurrency(testbed, load, 1.5 * totalCapacity, timing.meanLifetimeSeconds());
        pause(timing.warmUpSeconds());
        testbed.loop().run(load::resetLatencies);
        OpenLoopLoad.Counts before = testbed.loop().call(load::counts);
        double established = meanEstablished(testbed, (int) (timing.observedSeconds() * SAMPLES_PER_SECOND));
        OpenLoopLoad.Counts counts = testbed.loop().call(load::counts).since(before);
        progress.onProgress("fleet at 150%: " + counts + ", capacity " + totalCapacity
                + "; all rejections by reason and attempts " + rejectionsByReason(testbed.logs()));
        results.add(MetricResult.atLeast("fleet at 150%: standing of what fits", established / totalCapacity, 0.9));
        results.add(MetricResult.atMost(
                "fleet at 150%: refused after, 99 in 100, ms", counts.rejectionP99Micros() / MICROS_PER_MILLI, 50));
        results.add(MetricResult.informational(
                "fleet at 150%: refused after at the most, ms", counts.rejectionMaxMicros() / MICROS_PER_MILLI));
        results.add(MetricResult.informational("fleet at 150%: failed", (double) counts.failed()));
        results.add(MetricResult.informational("fleet at 150%: lost", (double) counts.lost()));
    }

    /** The mean of all servers' established connections over this many samples. */
    private static double meanEstablished(Testbed testbed, int samples) throws InterruptedException {
        double sum = 0;
        for (int i = 0; i < samples; i++) {
            pause(1 / SAMPLES_PER_SECOND);
            sum += testbed.loop().call(() -> testbed.servers().stream()
                    .mapToInt(server -> server.counters().established())
                    .sum());
        }
        return sum / samples;
    }

    /** Counts the rejections in log lines by reason and number of attempts. */
    static Map<String, Long> rejectionsByReason(List<String> logs) {
        Map<String, Long> counts = new TreeMap<>();
        for (String line : logs) {
            Matcher matcher = REJECTION_LINE.matcher(line);
            if (matcher.find()) {
                counts.merge(matcher.group(1) + " after " + matcher.group(2), 1L, Long::sum);
            }
        }
        return counts;
    }

    private static void setTargetConcurrency(
            Testbed testbed, OpenLoopLoad load, double concurrency, double meanLifetimeSeconds) {
        testbed.loop().run(() -> load.setArrivals(concurrency / meanLifetimeSeconds, meanLifetimeSeconds));
    }

    private static long shedConnections(Testbed testbed) {
        return testbed.loop().call(() -> testbed.servers().stream()
                .mapToLong(server -> server.counters().shed())
                .sum());
    }

    /** Two of six servers lose 74% of their processor for a while; returns the lines that were answered in time. */
    private static double measureNoisyNeighbour(
            Options options, Path jar, String suffix, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            for (int i = 0; i < NEIGHBOUR_SERVERS; i++) {
                testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED.withWork(2, 2_000, 6_000));
            }
            testbed.startRelays(jar, 2, NO_DEPLOY_FILES, List.of());
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 30);
            testbed.loop().run(() -> load.sendLines(LINE_INTERVAL_MICROS, LATE_LINE_MICROS));
            setTargetConcurrency(testbed, load, NEIGHBOUR_CONCURRENCY, NEIGHBOUR_LIFETIME_SECONDS);
            pause(options.quick() ? 4 : 10);
            OpenLoopLoad.Counts before = testbed.loop().call(load::counts);
            setNeighbourLoad(testbed, NEIGHBOUR_LOAD);
            pause(options.quick() ? 4 : 10);
            OpenLoopLoad.Counts during = testbed.loop().call(load::counts).since(before);
            setNeighbourLoad(testbed, 0);
            OpenLoopLoad.Counts beforeRecovery = testbed.loop().call(load::counts);
            pause(options.quick() ? 3 : 10);
            OpenLoopLoad.Counts after = testbed.loop().call(load::counts).since(beforeRecovery);
            progress.onProgress("neighbour" + suffix + ": during " + during + ", after " + after);
            results.add(MetricResult.informational("neighbour: late share during" + suffix, lateFraction(during)));
            results.add(MetricResult.informational("neighbour: late share after" + suffix, lateFraction(after)));
            results.add(MetricResult.informational("neighbour: standing at the end" + suffix, after.established()));
            double inTime = during.lines() + after.lines() - during.lateLines() - after.lateLines();
            results.add(MetricResult.informational("neighbour: lines in time" + suffix, inTime));
            return inTime;
        }
    }

    private static double lateFraction(OpenLoopLoad.Counts counts) {
        return counts.lateLines() / (double) Math.max(1, counts.lines());
    }

    private static void setNeighbourLoad(Testbed testbed, double fraction) {
        testbed.loop().run(() -> {
            for (FakeFeedServer server : testbed.servers().subList(0, SERVERS_WITH_NEIGHBOUR)) {
                server.setNoisyNeighbourShare(fraction);
            }
        });
    }
}
