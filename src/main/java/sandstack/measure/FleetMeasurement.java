package sandstack.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import sandstack.faultinjection.ProcessFleet;

/**
 * {@code measure fleet}: failure detection in a fleet of twelve relay processes. Measures the time until members detect
 * that another one is killed, partitioned or paused, the time until all views converge after the fault, the number of
 * false suspicions, and the resource usage per member at several fleet sizes. Views are polled member by member on one
 * thread, so times are accurate to about 0.1 s.
 */
final class FleetMeasurement implements Measurement {
    private static final int MEMBERS = 12;
    private static final double TIMEOUT_SECONDS = 40;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MIB = 1024.0 * 1024;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int ZONES = 3;
    private static final int ROUNDS_PER_FAULT = 17;
    /** Duration for which false suspicions are counted. */
    private static final double FAULT_FREE_SECONDS = 600;

    private static final double FAULT_FREE_SECONDS_QUICK = 5;
    private static final long BUSY_THREAD_NANOS = 1_000_000_000L;
    private static final long IDLE_PAUSE_MILLIS = 500;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long COST_WINDOW_MILLIS = 5_000;
    private static final String ALIVE = "ALIVE";
    private static final String LOST = "LOST";

    /**
     * Fault injected into one member; CUT partitions it from all others. Metric names begin with the lower-case
     * constant.
     */
    private enum Fault {
        KILL,
        CUT,
        PAUSE
    }

    /** Collects durations and computes their percentiles, in seconds. */
    private static final class DurationSamples {
        private final List<Double> seconds = new ArrayList<>();

        void add(double duration) {
            seconds.add(duration);
        }

        double percentile(double fraction) {
            List<Double> sorted = new ArrayList<>(seconds);
            Collections.sort(sorted);
            return sorted.isEmpty()
                    ? Double.NaN
                    : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size())));
        }
    }

    @Override
    public List<MetricResult> run(Options options, ProgressListener progress) throws Exception {
        List<String> program = List.of("-jar", options.jar().toString());
        List<MetricResult> results = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(options.seed());
        try (ProcessFleet fleet = startFleet(program, MEMBERS)) {
            for (Fault fault : Fault.values()) {
                results.addAll(measureFault(fleet, fault, random, options.quick(), progress));
            }
            double seconds = options.quick() ? FAULT_FREE_SECONDS_QUICK : FAULT_FREE_SECONDS;
            results.add(MetricResult.atMost(
                    "views that doubt a member that lives", countFalseSuspicions(fleet, seconds, progress), 0));
        }
        for (int size : options.quick() ? new int[] {5} : new int[] {5, 20, 100}) {
            progress.onProgress("cost at " + size + " members");
            measureMemberCost(program, size, results);
        }
        return results;
    }

    private static List<MetricResult> measureFault(
            ProcessFleet fleet, Fault fault, SplittableRandom random, boolean quick, ProgressListener progress)
            throws IOException {
        DurationSamples detectionTimes = new DurationSamples();
        DurationSamples convergenceTimes = new DurationSamples();
        for (int i = 0; i < (quick ? 1 : ROUNDS_PER_FAULT); i++) {
            double convergence = injectFault(fleet, fault, random.nextInt(MEMBERS), detectionTimes, !quick);
            convergenceTimes.add(convergence);
            progress.onProgress(String.format(
                    Locale.ROOT,
                    "%s %d: detected after %.1f s (median of all rounds so far), converged after %.1f s",
                    fault,
                    i + 1,
                    detectionTimes.percentile(0.5),
                    convergence));
        }
        String name = fault.name().toLowerCase(Locale.ROOT);
        List<MetricResult> results = new ArrayList<>();
        results.add(MetricResult.atMost(name + " noticed, s, p50", detectionTimes.percentile(0.5), 5));
        results.add(MetricResult.atMost(name + " noticed, s, p99", detectionTimes.percentile(0.99), 8));
        if (fault != Fault.KILL) {
            results.add(MetricResult.atMost(name + " healed, all equal, s, max", convergenceTimes.percentile(1), 5));
        }
        return results;
    }

    private static ProcessFleet startFleet(List<String> program, int size) throws IOException {
        ProcessFleet fleet = new ProcessFleet(program, size, ZONES);
        fleet.startAll();
        if (ProcessFleet.awaitMicros(fleet::allAlive, TIMEOUT_SECONDS + size) < 0) {
            String logs = fleet.logs();
            fleet.close();
            throw new IOException("a fleet of " + size + " did not converge to a complete view; logs: " + logs);
        }
        return fleet;
    }

    /**
     * Injects a fault, waits for its detection, ends the fault and waits until every member sees all others as alive.
     *
     * @param detectionTimes receives one time until detection for each other member
     * @param untilLost whether the fault lasts until one observer has declared the member lost, rather than until all
     *     others have detected it
     * @return seconds from the end of the fault until convergence; infinite after a timeout
     */
    private static double injectFault(
            ProcessFleet fleet, Fault fault, int victim, DurationSamples detectionTimes, boolean untilLost)
            throws IOException {
        switch (fault) {
            case KILL -> fleet.kill(victim);
            case PAUSE -> fleet.pause(victim);
            default -> setPartitioned(fleet, victim, true);
        }
        awaitDetection(fleet, victim, detectionTimes);
        int observer = (victim + 1) % fleet.size();
        ProcessFleet.awaitMicros(
                () -> !untilLost || LOST.equals(fleet.memberStatuses(observer).get(ProcessFleet.memberName(victim))),
                TIMEOUT_SECONDS);
        switch (fault) {
            case KILL -> fleet.start(victim);
            case PAUSE -> fleet.resume(victim);
            default -> setPartitioned(fleet, victim, false);
        }
        long micros = ProcessFleet.awaitMicros(fleet::allAlive, TIMEOUT_SECONDS);
        return micros < 0 ? Double.POSITIVE_INFINITY : micros / MICROS_PER_SECOND;
    }

    private static void awaitDetection(ProcessFleet fleet, int victim, DurationSamples detectionTimes) {
        long startNanos = System.nanoTime();
        boolean[] detected = new boolean[fleet.size()];
        detected[victim] = true;
        ProcessFleet.awaitMicros(
                () -> {
                    boolean all = true;
                    for (int i = 0; i < fleet.size(); i++) {
                        if (!detected[i] && detects(fleet, i, victim)) {
                            detected[i] = true;
                            detectionTimes.add((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
                        }
                        all &= detected[i];
                    }
                    return all;
                },
                TIMEOUT_SECONDS);
    }

    private static boolean detects(ProcessFleet fleet, int observer, int victim) {
        Map<String, String> statuses = fleet.memberStatuses(observer);
        return statuses != null && !ALIVE.equals(statuses.get(ProcessFleet.memberName(victim)));
    }

    private static void setPartitioned(ProcessFleet fleet, int member, boolean partitioned) {
        for (int i = 0; i < fleet.size(); i++) {
            if (i != member && partitioned) {
                fleet.partition(member, i);
            } else if (i != member) {
                fleet.heal(member, i);
            }
        }
    }

    /**
     * Counts view entries that are not alive although no fault is injected; meanwhile a busy thread loads one core for
     * one second at a time.
     */
    private static double countFalseSuspicions(ProcessFleet fleet, double seconds, ProgressListener progress)
            throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        int suspicions = 0;
        while (System.nanoTime() < endNanos) {
            Thread busyThread = new Thread(FleetMeasurement::spin);
            busyThread.start();
            for (int i = 0; i < fleet.size(); i++) {
                Map<String, String> statuses = fleet.memberStatuses(i);
                suspicions += statuses == null ? 0 : countNotAlive(statuses);
            }
            busyThread.join();
            Thread.sleep(IDLE_PAUSE_MILLIS);
        }
        progress.onProgress(suspicions + " false suspicions in " + seconds + " s");
        return suspicions;
    }

    private static void spin() {
        long end = System.nanoTime() + BUSY_THREAD_NANOS;
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    private static int countNotAlive(Map<String, String> statuses) {
        return (int) statuses.values().stream()
                .filter(status -> !status.equals(ALIVE))
                .count();
    }

    private static void measureMemberCost(List<String> program, int size, List<MetricResult> results)
            throws IOException, InterruptedException {
        try (ProcessFleet fleet = startFleet(program, size)) {
            // excludes the load of the start-up
            Thread.sleep(SETTLE_MILLIS);
            long bytesBefore = fleet.forwardedBytes();
            double processorSecondsBefore = FleetUsage.processorSeconds(fleet);
            long startNanos = System.nanoTime();
            Thread.sleep(COST_WINDOW_MILLIS);
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            String suffix = ", " + size + " members";
            results.add(MetricResult.informational(
                    "bytes sent a second and member" + suffix,
                    (fleet.forwardedBytes() - bytesBefore) / seconds / size));
            results.add(MetricResult.informational(
                    "processor ms a second and member" + suffix,
                    (FleetUsage.processorSeconds(fleet) - processorSecondsBefore) * 1000 / seconds / size));
            results.add(MetricResult.informational(
                    "resident MB a member" + suffix, FleetUsage.meanResidentBytes(fleet) / BYTES_PER_MIB));
            results.add(MetricResult.informational("threads a member" + suffix, FleetUsage.meanThreads(fleet)));
        }
    }
}
