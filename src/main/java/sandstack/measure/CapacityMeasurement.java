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
 * {@code measure capacity}: measures how relays without stated capacities estimate the capacity of their feed servers.
 * Covers idle connections, servers of different capacities, and servers that lose processor time to a noisy neighbour.
 */
final class CapacityMeasurement implements Measurement {
    /**
     * Log line of a rejection; its groups are reason and attempts. Also matches the log lines of older
     * {@code --against} builds.
     */
    private static final Pattern REJECTION_LINE =
            Pattern.compile("(?:was answered (?:REFUSED|REJECTED) |answer=REJECTED reason=)([A-Z_]+)"
                    + " (?:retry_after_ms=)?[0-9]+ (?:after |attempts=)([0-9]+)");

    private static final Map<String, String> NO_DEPLOY_FILES = Map.of();
    /** The heap size that the platform configures is too small for ten thousand connections. */
    private static final List<String> LARGE_MEMORY_OPTIONS = List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m");

    private static final int MAX_CLIENTS_WITH_DEFAULT_HEAP = 1000;
    private static final int IDLE_BATCH_CONNECTIONS = 7;
    private static final double IDLE_ARRIVALS_PER_SECOND = 700;
    private static final int MAX_RESPONSE_POLLS = 100;
    private static final double RESPONSE_POLL_SECONDS = 0.05;
    private static final int SERVERS = 10;
    /** Server i accepts (i + 1) times this number of connections. */
    private static final int CAPACITY_STEP_CONNECTIONS = 20;

    private static final double SAMPLES_PER_SECOND = 4;
    private static final int NEIGHBOUR_SERVERS = 6;
    private static final int SERVERS_WITH_NEIGHBOUR = 2;
    /** Fraction of a server's processor time that its neighbour takes. */
    private static final double NEIGHBOUR_LOAD = 0.74;

    /** Target number of concurrent connections in the neighbour scenario. */
    private static final double NEIGHBOUR_CONCURRENCY = 240;

    private static final double NEIGHBOUR_MEAN_LIFETIME_SECONDS = 6;
    private static final long LINE_INTERVAL_MICROS = 200_000;
    /** Round trip above which a line counts as late. */
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
            // runs last because its closed sockets keep their ports in TIME_WAIT for a minute
            measureIdleConnections(options, 9800, results, progress);
        }
        return results;
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    /**
     * Opens connections that stay idle; the targets are that all are established and that none is rejected or fails.
     */
    private static void measureIdleConnections(
            Options options, int clients, List<MetricResult> results, ProgressListener progress) throws Exception {
        try (Testbed testbed = new Testbed()) {
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            List<String> jvmOptions = clients > MAX_CLIENTS_WITH_DEFAULT_HEAP ? LARGE_MEMORY_OPTIONS : List.of();
            testbed.startRelays(options.jar(), 1, NO_DEPLOY_FILES, jvmOptions);
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.relayPorts(), 20);
            connectInBatches(testbed, load, clients);
            OpenLoopLoad.Counts counts = awaitAllResponses(testbed, load);
            progress.onProgress("idle, " + clients + " clients: " + counts);
            results.add(MetricResult.atLeast("idle: standing of " + clients, counts.established(), clients));
            results.add(MetricResult.atMost(
                    "idle: refused of " + clients, (double) (counts.rejected() + counts.failed()), 0));
        }
    }

    private static void connectInBatches(Testbed testbed, OpenLoopLoad load, int clients) throws InterruptedException {
        for (int sent = 0; sent < clients; sent += IDLE_BATCH_CONNECTIONS) {
            int batch = Math.min(IDLE_BATCH_CONNECTIONS, clients - sent);
            testbed.loop().run(() -> {
                for (int i = 0; i < batch; i++) {
                    load.connectOne();
                }
            });
            pause(IDLE_BATCH_CONNECTIONS / IDLE_ARRIVALS_PER_SECOND);
        }
    }

    /** Waits for the responses to all attempts, for five seconds at most, and returns the counts at that time. */
    private static OpenLoopLoad.Counts awaitAllResponses(Testbed testbed, OpenLoopLoad load)
            throws InterruptedException {
        OpenLoopLoad.Counts counts = testbed.loop().call(load::counts);
        for (int i = 0;
                i < MAX_RESPONSE_POLLS && counts.accepted() + counts.rejected() + counts.failed() < counts.attempts();
                i++) {
            pause(RESPONSE_POLL_SECONDS);
            counts = testbed.loop().call(load::counts);
        }
        return counts;
    }

    /** Durations of one load level. */
    private record Timing(double meanLifetimeSeconds, double warmUpSeconds, double observedSeconds) {
        private static final Timing QUICK = new Timing(3, 5, 5);
        private static final Timing FULL = new Timing(10, 20, 20);
    }

    /** Ten servers of two models, each with a different capacity that is not stated; three independent relays. */
    private static void measureUnknownCapacities(Options options, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            int totalCapacity = 0;
            for (int i = 0; i < SERVERS; i++) {
                int capacity = CAPACITY_STEP_CONNECTIONS + i * CAPACITY_STEP_CONNECTIONS;
                totalCapacity += capacity;
                testbed.addFeedServer(
                        i % 2 == 0 ? "old-box" : "new-box",
                        1,
                        ServerProfile.UNLIMITED.withConnectionLimit(capacity, i % 3 == 0));
            }
            testbed.startRelays(options.jar(), 3, NO_DEPLOY_FILES, List.of("-Dsandstack.log=FINE"));
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.relayPorts(), 40);
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
        double responses = Math.max(1, counts.accepted() + counts.rejected() + counts.failed());
        results.add(MetricResult.atLeast("fleet at 80%: served share", counts.accepted() / responses, 0.99));
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
                + "; all rejections by reason and attempts " + rejectionsByReason(testbed.relayLogs()));
        results.add(MetricResult.atLeast("fleet at 150%: standing of what fits", established / totalCapacity, 0.9));
        results.add(MetricResult.atMost(
                "fleet at 150%: refused after, 99 in 100, ms", counts.rejectionP99Micros() / MICROS_PER_MILLI, 50));
        results.add(MetricResult.informational(
                "fleet at 150%: refused after at the most, ms", counts.rejectionMaxMicros() / MICROS_PER_MILLI));
        results.add(MetricResult.informational("fleet at 150%: failed", (double) counts.failed()));
        results.add(MetricResult.informational("fleet at 150%: lost", (double) counts.lost()));
    }

    /** The number of connections established at all servers, averaged over this number of samples. */
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

    /** Counts the rejections in the log lines; keys have the form {@code REASON after ATTEMPTS}. */
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

    /**
     * Two of six servers lose 74% of their processor time for a while.
     *
     * @param suffix appended to the metric names, to tell the builds apart
     * @return number of lines answered in time, during the load of the neighbour and after it
     */
    private static double measureNoisyNeighbour(
            Options options, Path jar, String suffix, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            for (int i = 0; i < NEIGHBOUR_SERVERS; i++) {
                testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED.withWork(2, 2_000, 6_000));
            }
            testbed.startRelays(jar, 2, NO_DEPLOY_FILES, List.of());
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.relayPorts(), 30);
            testbed.loop().run(() -> load.sendLines(LINE_INTERVAL_MICROS, LATE_LINE_MICROS));
            setTargetConcurrency(testbed, load, NEIGHBOUR_CONCURRENCY, NEIGHBOUR_MEAN_LIFETIME_SECONDS);
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
            double linesInTime = during.lines() + after.lines() - during.lateLines() - after.lateLines();
            results.add(MetricResult.informational("neighbour: lines in time" + suffix, linesInTime));
            return linesInTime;
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
