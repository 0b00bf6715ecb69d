package sandstack.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import sandstack.rig.FleetRig;

/**
 * {@code measure fleet}: how fast members of a fleet of twelve real processes notice that one is killed, cut off or
 * paused, how soon all see the same again, whether anyone is doubted who lives, and what a member costs at several sizes.
 * One thread; a view is asked for each member in turn, so a moment is known to about a tenth of a second.
 */
final class FleetMeasurement implements Measurement {
    private static final int MEMBERS = 12;
    private static final double TIMEOUT_SECONDS = 40;
    /** Clock ticks of the system's process table a second. */
    private static final double TICKS_PER_SECOND = 100;

    /** What is done to a member. */
    private enum Fault {
        KILL,
        CUT,
        PAUSE
    }

    /** Times that were measured, in seconds. */
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
        int rounds = options.quick() ? 1 : 17;
        double observedSeconds = options.quick() ? 5 : 600;
        try (FleetRig rig = startFleet(program, MEMBERS)) {
            for (Fault fault : Fault.values()) {
                DurationSamples detectionTimes = new DurationSamples();
                DurationSamples convergenceTimes = new DurationSamples();
                for (int i = 0; i < rounds; i++) {
                    convergenceTimes.add(
                            injectFault(rig, fault, random.nextInt(MEMBERS), detectionTimes, !options.quick()));
                    progress.onProgress(String.format(
                            Locale.ROOT,
                            "%s %d: noticed after %.1f s, equal again after %.1f s",
                            fault,
                            i + 1,
                            detectionTimes.percentile(0.5),
                            convergenceTimes.seconds.get(i)));
                }
                String name = fault.name().toLowerCase(Locale.ROOT);
                results.add(MetricResult.atMost(name + " noticed, s, p50", detectionTimes.percentile(0.5), 5));
                results.add(MetricResult.atMost(name + " noticed, s, p99", detectionTimes.percentile(0.99), 8));
                if (fault != Fault.KILL) {
                    results.add(MetricResult.atMost(
                            name + " healed, all equal, s, max", convergenceTimes.percentile(1), 5));
                }
            }
            results.add(MetricResult.atMost(
                    "views that doubt a member that lives", countFalseSuspicions(rig, observedSeconds, progress), 0));
        }
        for (int size : options.quick() ? new int[] {5} : new int[] {5, 20, 100}) {
            progress.onProgress("cost at " + size + " members");
            measureMemberCost(program, size, results);
        }
        return results;
    }

    private static FleetRig startFleet(List<String> program, int size) throws IOException {
        FleetRig rig = new FleetRig(program, size, 3);
        rig.startAll();
        if (FleetRig.until(rig::allAlive, TIMEOUT_SECONDS + size) < 0) {
            String logs = rig.logs();
            rig.close();
            throw new IOException("a fleet of " + size + " did not see itself whole; it said: " + logs);
        }
        return rig;
    }

    /**
     * One fault of one member; returns the seconds from its end until all see all alive.
     *
     * @param untilLost it lasts until the member is given up, and not only until it is noticed
     */
    private static double injectFault(
            FleetRig rig, Fault fault, int victim, DurationSamples detectionTimes, boolean untilLost)
            throws IOException {
        switch (fault) {
            case KILL -> rig.kill(victim);
            case PAUSE -> rig.pause(victim);
            default -> setPartitioned(rig, victim, true);
        }
        long startNanos = System.nanoTime();
        boolean[] detected = new boolean[rig.size()];
        detected[victim] = true;
        FleetRig.until(
                () -> {
                    boolean all = true;
                    for (int i = 0; i < rig.size(); i++) {
                        if (!detected[i]) {
                            Map<String, String> statuses = rig.standings(i);
                            detected[i] = statuses != null && !"ALIVE".equals(statuses.get(FleetRig.name(victim)));
                            if (detected[i]) {
                                detectionTimes.add((System.nanoTime() - startNanos) / 1e9);
                            }
                        }
                        all &= detected[i];
                    }
                    return all;
                },
                TIMEOUT_SECONDS);
        FleetRig.until(
                () -> !untilLost
                        || "LOST"
                                .equals(rig.standings((victim + 1) % rig.size()).get(FleetRig.name(victim))),
                TIMEOUT_SECONDS);
        switch (fault) {
            case KILL -> rig.start(victim);
            case PAUSE -> rig.resume(victim);
            default -> setPartitioned(rig, victim, false);
        }
        long micros = FleetRig.until(rig::allAlive, TIMEOUT_SECONDS);
        return micros < 0 ? Double.POSITIVE_INFINITY : micros / 1e6;
    }

    private static void setPartitioned(FleetRig rig, int member, boolean partitioned) {
        for (int i = 0; i < rig.size(); i++) {
            if (i != member && partitioned) {
                rig.cut(member, i);
            } else if (i != member) {
                rig.heal(member, i);
            }
        }
    }

    /** Counts views that call anyone other than alive while nobody is harmed, and a core is taken now and then. */
    private static double countFalseSuspicions(FleetRig rig, double seconds, ProgressListener progress)
            throws InterruptedException {
        long endNanos = System.nanoTime() + (long) (seconds * 1e9);
        int suspicions = 0;
        while (System.nanoTime() < endNanos) {
            Thread busyThread = new Thread(() -> {
                long end = System.nanoTime() + 1_000_000_000L;
                while (System.nanoTime() < end) {
                    Thread.onSpinWait();
                }
            });
            busyThread.start();
            for (int i = 0; i < rig.size(); i++) {
                Map<String, String> statuses = rig.standings(i);
                suspicions += statuses == null
                        ? 0
                        : (int) statuses.values().stream()
                                .filter(s -> !s.equals("ALIVE"))
                                .count();
            }
            busyThread.join();
            Thread.sleep(500);
        }
        progress.onProgress(suspicions + " doubts in " + seconds + " s");
        return suspicions;
    }

    private static void measureMemberCost(List<String> program, int size, List<MetricResult> results)
            throws IOException, InterruptedException {
        try (FleetRig rig = startFleet(program, size)) {
            // what a start costs is over
            Thread.sleep(3_000);
            long bytesBefore = rig.bytes();
            double processorSecondsBefore = processorSeconds(rig);
            long startNanos = System.nanoTime();
            Thread.sleep(5_000);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            String suffix = ", " + size + " members";
            results.add(MetricResult.informational(
                    "bytes sent a second and member" + suffix, (rig.bytes() - bytesBefore) / seconds / size));
            results.add(MetricResult.informational(
                    "processor ms a second and member" + suffix,
                    (processorSeconds(rig) - processorSecondsBefore) * 1000 / seconds / size));
            results.add(MetricResult.informational(
                    "resident MB a member" + suffix, meanOfStatusField(rig, "VmRSS") / 1024.0));
            results.add(MetricResult.informational("threads a member" + suffix, meanOfStatusField(rig, "Threads")));
        }
    }

    /** Processor seconds of all members so far. */
    private static double processorSeconds(FleetRig rig) throws IOException {
        double ticks = 0;
        for (int i = 0; i < rig.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + rig.pid(i) + "/stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(words[11]) + Long.parseLong(words[12]);
        }
        return ticks / TICKS_PER_SECOND;
    }

    /** The mean of one line of the system's figures of a process. */
    private static double meanOfStatusField(FleetRig rig, String field) throws IOException {
        double sum = 0;
        for (int i = 0; i < rig.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + rig.pid(i) + "/status"))) {
                if (line.startsWith(field + ":")) {
                    sum += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                }
            }
        }
        return sum / rig.size();
    }
}
