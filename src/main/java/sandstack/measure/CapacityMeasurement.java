package sandstack.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;

/**
 * What relays that know nothing of their feed servers make of them: idle ones that tell nothing, a fleet whose caps
 * they have to find, and machines that a neighbour takes a part of.
 */
final class CapacityMeasurement implements Measurement {
    /** No file of ours says anything. */
    private static final Pattern REJECTION_LINE =
            Pattern.compile("was answered REFUSED ([A-Z_]+) [0-9]+ after ([0-9]+)");

    private static final Map<String, String> NO_DEPLOY_FILES = Map.of();
    private static final List<String> LARGE_MEMORY_OPTIONS = List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m");

    @Override
    public List<MetricResult> run(Options options, ProgressListener progress) throws Exception {
        List<MetricResult> results = new ArrayList<>();
        measureIdleConnections(options, 100, results, progress);
        measureIdleConnections(options, 1000, results, progress);
        measureUnknownCapacities(options, results, progress);
        double linesInTime = measureNoisyNeighbour(options, options.jar(), "", results, progress);
        if (options.baselineJar() != null) {
            double otherLinesInTime =
                    measureNoisyNeighbour(options, options.baselineJar(), ", other build", results, progress);
            results.add(MetricResult.atLeast(
                    "neighbour: lines in time against the other build",
                    linesInTime / Math.max(otherLinesInTime, 1),
                    1));
        }
        if (!options.quick()) {
            // last: its sockets keep so many ports busy for a minute that others would not get one
            measureIdleConnections(options, 9800, results, progress);
        }
        return results;
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    /** Two idle feed servers that tell nothing; so many clients come and stay. */
    private static void measureIdleConnections(
            Options options, int clients, List<MetricResult> results, ProgressListener progress) throws Exception {
        try (Testbed testbed = new Testbed()) {
            testbed.addFeedServer("box", 1, Machine.IDLE);
            testbed.addFeedServer("box", 1, Machine.IDLE);
            // ten thousand connections are more than the platform's heap is meant for
            testbed.startRelays(options.jar(), 1, NO_DEPLOY_FILES, clients > 1000 ? LARGE_MEMORY_OPTIONS : List.of());
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 20);
            double arrivalsPerSecond = 700;
            for (int sent = 0; sent < clients; sent += 7) {
                int batch = Math.min(7, clients - sent);
                testbed.loop().run(() -> {
                    for (int i = 0; i < batch; i++) {
                        load.connectOne();
                    }
                });
                pause(7 / arrivalsPerSecond);
            }
            OpenLoopLoad.Counts counts = awaitAllAnswered(testbed, load);
            progress.onProgress("idle, " + clients + " clients: " + counts);
            results.add(MetricResult.atLeast("idle: standing of " + clients, counts.established(), clients));
            results.add(MetricResult.atMost("idle: refused of " + clients, counts.rejected() + counts.failed(), 0));
        }
    }

    /** Waits until nobody waits for an answer. */
    private static OpenLoopLoad.Counts awaitAllAnswered(Testbed testbed, OpenLoopLoad load)
            throws InterruptedException {
        OpenLoopLoad.Counts counts = testbed.loop().on(load::counts);
        for (int i = 0; i < 100 && counts.accepted() + counts.rejected() + counts.failed() < counts.attempts(); i++) {
            pause(0.05);
            counts = testbed.loop().on(load::counts);
        }
        return counts;
    }

    /** Ten servers of two kinds with caps that nobody tells; three relays that share nothing. */
    private static void measureUnknownCapacities(Options options, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            int totalCapacity = 0;
            for (int i = 0; i < 10; i++) {
                int cap = 20 + i * 20;
                totalCapacity += cap;
                testbed.addFeedServer(i % 2 == 0 ? "old-box" : "new-box", 1, Machine.IDLE.holding(cap, i % 3 == 0));
            }
            testbed.startRelays(options.jar(), 3, NO_DEPLOY_FILES, List.of("-Dsandstack.log=FINE"));
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 40);
            double meanLifetimeSeconds = options.quick() ? 3 : 10;
            double warmUpSeconds = options.quick() ? 5 : 20;
            double observedSeconds = options.quick() ? 5 : 20;
            setTargetConcurrency(testbed, load, 0.8 * totalCapacity, meanLifetimeSeconds);
            pause(warmUpSeconds);
            OpenLoopLoad.Counts before = testbed.loop().on(load::counts);
            long shedBefore = shedConnections(testbed);
            pause(observedSeconds);
            OpenLoopLoad.Counts at80 = testbed.loop().on(load::counts).since(before);
            long shed80 = shedConnections(testbed) - shedBefore;
            progress.onProgress("fleet at 80%: " + at80 + ", shed " + shed80);
            double answered = Math.max(1, at80.accepted() + at80.rejected() + at80.failed());
            results.add(MetricResult.atLeast("fleet at 80%: served share", at80.accepted() / answered, 0.99));
            results.add(MetricResult.atMost("fleet at 80%: shed after the start", shed80, 0));
            setTargetConcurrency(testbed, load, 1.5 * totalCapacity, meanLifetimeSeconds);
            pause(warmUpSeconds);
            testbed.loop().run(load::resetLatencies);
            before = testbed.loop().on(load::counts);
            double sumOfEstablished = 0;
            int samples = (int) (observedSeconds * 4);
            for (int i = 0; i < samples; i++) {
                pause(0.25);
                sumOfEstablished += testbed.loop().on(() -> testbed.servers().stream()
                        .mapToInt(s -> s.books().standing())
                        .sum());
            }
            OpenLoopLoad.Counts at150 = testbed.loop().on(load::counts).since(before);
            progress.onProgress("fleet at 150%: " + at150 + ", of " + totalCapacity
                    + " fit; all refusals by cause and executions " + rejectionsByReason(testbed.logs()));
            results.add(MetricResult.atLeast(
                    "fleet at 150%: standing of what fits", sumOfEstablished / samples / totalCapacity, 0.9));
            results.add(MetricResult.atMost(
                    "fleet at 150%: refused after, 99 in 100, ms", at150.rejectionP99Micros() / 1000.0, 50));
            results.add(MetricResult.informational(
                    "fleet at 150%: refused after at the most, ms", at150.rejectionMaxMicros() / 1000.0));
            results.add(MetricResult.informational("fleet at 150%: failed", at150.failed()));
            results.add(MetricResult.informational("fleet at 150%: lost", at150.lost()));
        }
    }

    private static Map<String, Long> rejectionsByReason(List<String> logs) {
        Map<String, Long> causes = new TreeMap<>();
        for (String line : logs) {
            Matcher matcher = REJECTION_LINE.matcher(line);
            if (matcher.find()) {
                causes.merge(matcher.group(1) + " after " + matcher.group(2), 1L, Long::sum);
            }
        }
        return causes;
    }

    private static void setTargetConcurrency(
            Testbed testbed, OpenLoopLoad load, double concurrency, double meanLifetimeSeconds) {
        testbed.loop().run(() -> load.setArrivals(concurrency / meanLifetimeSeconds, meanLifetimeSeconds));
    }

    private static long shedConnections(Testbed testbed) {
        return testbed.loop().on(() -> testbed.servers().stream()
                .mapToLong(s -> s.books().shed())
                .sum());
    }

    /** Two of six machines lose 74% to another program, for a while; returns how many lines were in time. */
    private static double measureNoisyNeighbour(
            Options options, Path jar, String suffix, List<MetricResult> results, ProgressListener progress)
            throws Exception {
        try (Testbed testbed = new Testbed()) {
            for (int i = 0; i < 6; i++) {
                testbed.addFeedServer("box", 1, Machine.IDLE.working(2, 2_000, 6_000));
            }
            testbed.startRelays(jar, 2, NO_DEPLOY_FILES, List.of());
            OpenLoopLoad load = new OpenLoopLoad(testbed.loop(), options.seed(), testbed.ports(), 30);
            testbed.loop().run(() -> load.sendLines(200_000, 150_000));
            setTargetConcurrency(testbed, load, 240, 6);
            pause(options.quick() ? 4 : 10);
            OpenLoopLoad.Counts before = testbed.loop().on(load::counts);
            setNeighbourLoad(testbed, 0.74);
            pause(options.quick() ? 4 : 10);
            OpenLoopLoad.Counts during = testbed.loop().on(load::counts).since(before);
            setNeighbourLoad(testbed, 0);
            OpenLoopLoad.Counts middle = testbed.loop().on(load::counts);
            pause(options.quick() ? 3 : 10);
            OpenLoopLoad.Counts after = testbed.loop().on(load::counts).since(middle);
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
            for (FeedServer server : testbed.servers().subList(0, 2)) {
                server.neighbour(fraction);
            }
        });
    }
}
