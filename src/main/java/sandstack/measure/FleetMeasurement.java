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
 * {@code measure fleet}: failure detection in a fleet of twelve real processes. Measures how fast members detect that
 * one is killed, partitioned or paused, how soon all views converge again, false suspicions, and the cost of a member
 * at several fleet sizes. Views are polled member by member on one thread, so times are accurate to about 0.1 s.
 */
final class FleetMeasurement implements Measurement {
    private static final int MEMBERS = 12;
    private static final double TIMEOUT_SECONDS = 40;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MIB = 1024.0 * 1024;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int ZONES = 3;
    private static final int ROUNDS = 17;
    private static final double STEADY_SECONDS = 600;
    private static final double STEADY_SECONDS_QUICK = 5;
    private static final long BUSY_NANOS = 1_000_000_000L;
    private static final long BUSY_PAUSE_MILLIS = 500;
    private static final long START_UP_MILLIS = 3_000;
    private static final long COST_MILLIS = 5_000;
    private static final String ALIVE = "ALIVE";
    private static final String LOST = "LOST";

    /** The injected fault of a member; CUT partitions it from all others. */
    private enum Fault {
        KILL,
        CUT,
        PAUSE
    }

    /** Measured durations in seconds. */
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
        try (ProcessFleet rig = startFleet(program, MEMBERS)) {
            for (Fault fault : Fault.values()) {
                results.addAll(measureFault(rig, fault, random, options.quick(), progress));
            }
            double seconds = options.quick() ? STEADY_SECONDS_QUICK : STEADY_SECONDS;
            results.add(MetricResult.atMost(
                    "views that doubt a member that lives", countFalseSuspicions(rig, seconds, progress), 0));
        }
        for (int size : options.quick() ? new int[] {5} : new int[] {5, 20, 100}) {
            progress.onProgress("cost at " + size + " members");
            measureMemberCost(program, size, results);
        }
        return results;
    }

    private static List<MetricResult> measureFault(
            ProcessFleet rig, Fault fault, SplittableRandom random, boolean quick, ProgressListener progress)
            throws IOException {
        DurationSamples detectionTimes = new DurationSamples();
        DurationSamples convergenceTimes = new DurationSamples();
        for (int i = 0; i < (quick ? 1 : ROUNDS); i++) {
            double convergence = injectFault(rig, fault, random.nextInt(MEMBERS), detectionTimes, !quick);
            convergenceTimes.add(convergence);
            progress.onProgress(String.format(
                    Locale.ROOT,
                    "%s %d: noticed after %.1f s, equal again after %.1f s",
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
        ProcessFleet rig = new ProcessFleet(program, size, ZONES);
        rig.startAll();
        if (ProcessFleet.awaitMicros(rig::allAlive, TIMEOUT_SECONDS + size) < 0) {
            String logs = rig.logs();
            rig.close();
            throw new IOException("a fleet of " + size + " did not form a complete view; its logs: " + logs);
        }
        return rig;
    }

    /**
     * Injects a fault, waits for its detection, ends it and waits until all members see all others alive.
     *
     * @param detectionTimes receives the time until detection at each other member
     * @param untilLost whether the fault lasts until the member is declared lost, not only until it is suspected
     * @return seconds from the end of the fault until convergence; infinite after a timeout
     */
    private static double injectFault(
            ProcessFleet rig, Fault fault, int victim, DurationSamples detectionTimes, boolean untilLost)
            throws IOException {
        switch (fault) {
            case KILL -> rig.kill(victim);
            case PAUSE -> rig.pause(victim);
            default -> setPartitioned(rig, victim, true);
        }
        awaitDetection(rig, victim, detectionTimes);
        int observer = (victim + 1) % rig.size();
        ProcessFleet.awaitMicros(
                () -> !untilLost || LOST.equals(rig.memberStatuses(observer).get(ProcessFleet.memberName(victim))),
                TIMEOUT_SECONDS);
        switch (fault) {
            case KILL -> rig.start(victim);
            case PAUSE -> rig.resume(victim);
            default -> setPartitioned(rig, victim, false);
        }
        long micros = ProcessFleet.awaitMicros(rig::allAlive, TIMEOUT_SECONDS);
        return micros < 0 ? Double.POSITIVE_INFINITY : micros / MICROS_PER_SECOND;
    }

    private static void awaitDetection(ProcessFleet rig, int victim, DurationSamples detectionTimes) {
        long startNanos = System.nanoTime();
        boolean[] detected = new boolean[rig.size()];
        detected[victim] = true;
        ProcessFleet.awaitMicros(
                () -> {
                    boolean all = true;
                    for (int i = 0; i < rig.size(); i++) {
                        if (!detected[i] && detects(rig, i, victim)) {
                            detected[i] = true;
                            detectionTimes.add((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
                        }
                        all &= detected[i];
                    }
                    return all;
                },
                TIMEOUT_SECONDS);
    }

    private static boolean detects(ProcessFleet rig, int observer, int victim) {
        Map<String, String> statuses = rig.memberStatuses(observer);
        return statuses != null && !ALIVE.equals(statuses.get(ProcessFleet.memberName(victim)));
    }

    private static void setPartitioned(ProcessFleet rig, int member, boolean partitioned) {
        for (int i = 0; i < rig.size(); i++) {
            if (i != member && partitioned) {
                rig.partition(member, i);
            } else if (i != member) {
                rig.heal(member, i);
            }
        }
    }

    /** Counts entries of views that are not alive, while no fault is injected but one core is kept busy at times. */
    private static double countFalseSuspicions(ProcessFleet rig, double seconds, ProgressListener progress)
            throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        int suspicions = 0;
        while (System.nanoTime() < endNanos) {
            Thread busyThread = new Thread(FleetMeasurement::spin);
            busyThread.start();
            for (int i = 0; i < rig.size(); i++) {
                Map<String, String> statuses = rig.memberStatuses(i);
                suspicions += statuses == null ? 0 : countNotAlive(statuses);
            }
            busyThread.join();
            Thread.sleep(BUSY_PAUSE_MILLIS);
        }
        progress.onProgress(suspicions + " doubts in " + seconds + " s");
        return suspicions;
    }

    private static void spin() {
        long end = System.nanoTime() + BUSY_NANOS;
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
        try (ProcessFleet rig = startFleet(program, size)) {
            // lets the load of the start pass
            Thread.sleep(START_UP_MILLIS);
            long bytesBefore = rig.forwardedBytes();
            double processorSecondsBefore = FleetUsage.processorSeconds(rig);
            long startNanos = System.nanoTime();
            Thread.sleep(COST_MILLIS);
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            String suffix = ", " + size + " members";
            results.add(MetricResult.informational(
                    "bytes sent a second and member" + suffix, (rig.forwardedBytes() - bytesBefore) / seconds / size));
            results.add(MetricResult.informational(
                    "processor ms a second and member" + suffix,
                    (FleetUsage.processorSeconds(rig) - processorSecondsBefore) * 1000 / seconds / size));
            results.add(MetricResult.informational(
                    "resident MB a member" + suffix, FleetUsage.meanResidentBytes(rig) / BYTES_PER_MIB));
            results.add(MetricResult.informational("threads a member" + suffix, FleetUsage.meanThreads(rig)));
        }
    }
}
