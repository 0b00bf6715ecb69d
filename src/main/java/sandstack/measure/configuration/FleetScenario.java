package sandstack.measure.configuration;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.measure.configuration.FleetScenarioResult.Rates;

/** Plays one day's events on a hollow fleet of one size, and counts. One thread. */
final class FleetScenario {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long STEP_MICROS = 20_000;
    /** Nothing that is measured may take longer than this in simulated time. */
    private static final long TIMEOUT_MICROS = 120 * MICROS_PER_SECOND;

    private static final int MACHINES = 7;
    private static final int ZONES = 8;
    private static final int KEYS = 200;
    private static final int VALUE_CHARACTERS = 100;
    private static final int EDITS_PER_CHANGE = 2;
    private static final double CHANGES_PER_DAY = 3_700;
    private static final long CHANGE_INTERVAL_MICROS = (long) (86_400 * MICROS_PER_SECOND / CHANGES_PER_DAY);

    /**
     * How long things are watched, in simulated seconds.
     *
     * @param measuresCosts whether processor time and heap are measured; they differ from run to run
     */
    record Durations(int idleSeconds, int changes, int partitionSeconds, int settleSeconds, boolean measuresCosts) {}

    private final Durations durations;
    private final HollowConfigurationFleet fleet;
    private final SplittableRandom random;

    FleetScenario(int relays, Durations durations, long seed) {
        this.durations = durations;
        this.random = new SplittableRandom(seed);
        this.fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(relays, MACHINES, seed));
    }

    FleetScenarioResult run() {
        long heapBefore = durations.measuresCosts() ? UsedHeap.bytes() : 0;
        fleet.machines().forEach(HollowProcess::start);
        proposeInitialConfiguration();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        fleet.relays().forEach(HollowProcess::start);
        double afterStart = secondsUntilActiveEverywhere();
        settle();
        double heap = durations.measuresCosts()
                ? (double) (UsedHeap.bytes() - heapBefore) / fleet.relays().size()
                : 0;
        Rates idle = measureRates(
                durations.idleSeconds(), () -> fleet.clock().advance(durations.idleSeconds() * MICROS_PER_SECOND));
        double[] everywhere = {0};
        double changingSeconds = durations.changes() * CHANGE_INTERVAL_MICROS / (double) MICROS_PER_SECOND;
        Rates changing = measureRates(changingSeconds, () -> everywhere[0] = runChanges(durations.changes()));
        PeakHelloRate hellos = new PeakHelloRate(fleet);
        double afterKill = killBusiestMachine();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        double killPeak = hellos.takePeak();
        fleet.startAll();
        settle();
        hellos.takePeak();
        Rates apart = measureRates(durations.partitionSeconds(), this::partitionRegions);
        double apartPeak = hellos.takePeak();
        double afterRegionCut = healRegions();
        settle();
        hellos.takePeak();
        double afterZone = restartZone();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        double zonePeak = hellos.takePeak();
        return new FleetScenarioResult(
                fleet.relays().size(),
                idle,
                changing,
                apart,
                everywhere[0],
                afterKill,
                afterRegionCut,
                afterZone,
                afterStart,
                killPeak,
                zonePeak,
                apartPeak,
                fleet.machines().stream()
                        .mapToInt(HollowControlMachine::maxSessions)
                        .max()
                        .orElse(0),
                heap);
    }

    /** The configuration that stands before anything is measured. */
    private void proposeInitialConfiguration() {
        List<ConfigurationEdit> edits = new ArrayList<>();
        for (int key = 0; key < KEYS; key++) {
            edits.add(new Put(key(key), randomValue()));
        }
        propose(edits);
    }

    private static String key(int number) {
        return "relay.settings.group-" + number / 10 + ".key-" + number;
    }

    private String randomValue() {
        StringBuilder value = new StringBuilder();
        while (value.length() < VALUE_CHARACTERS) {
            value.append(Long.toHexString(random.nextLong()));
        }
        return value.substring(0, VALUE_CHARACTERS);
    }

    private void propose(List<ConfigurationEdit> edits) {
        HollowControlMachine machine = fleet.machines().stream()
                .filter(fleet.consensus()::hasMajority)
                .findFirst()
                .orElseThrow();
        fleet.consensus().propose(machine, edits).ifPresent(refusal -> {
            throw new IllegalStateException(refusal.toString());
        });
    }

    private void proposeOne() {
        int first = random.nextInt(KEYS - EDITS_PER_CHANGE);
        List<ConfigurationEdit> edits = new ArrayList<>();
        for (int i = 0; i < EDITS_PER_CHANGE; i++) {
            edits.add(new Put(key(first + i), randomValue()));
        }
        propose(edits);
    }

    /** Makes changes at the planned rate; returns the longest time until one was in force everywhere. */
    private double runChanges(int changes) {
        double longest = 0;
        for (int i = 0; i < changes; i++) {
            long startMicros = fleet.clock().nowMicros();
            proposeOne();
            longest = Math.max(longest, secondsUntilActiveEverywhere());
            fleet.clock()
                    .advance(Math.max(
                            0,
                            startMicros + CHANGE_INTERVAL_MICROS - fleet.clock().nowMicros()));
        }
        return longest;
    }

    /** The machine with most relays is lost as a change is made. */
    private double killBusiestMachine() {
        HollowControlMachine busiest = fleet.machines().stream()
                .max(Comparator.comparingInt(
                        (HollowControlMachine machine) -> machine.publisher().sessionCount()))
                .orElseThrow();
        busiest.kill(true);
        proposeOne();
        return secondsUntilActiveEverywhere();
    }

    private void partitionRegions() {
        fleet.setFaults(new NetworkFaults() {
            @Override
            public boolean canReach(HollowProcess from, HollowProcess to) {
                return from.region().equals(to.region());
            }
        });
        long end = fleet.clock().nowMicros() + durations.partitionSeconds() * MICROS_PER_SECOND;
        while (fleet.clock().nowMicros() < end) {
            proposeOne();
            fleet.clock()
                    .advance(
                            Math.min(CHANGE_INTERVAL_MICROS, end - fleet.clock().nowMicros()));
        }
    }

    private double healRegions() {
        fleet.setFaults(NetworkFaults.NONE);
        return secondsUntilActiveEverywhere();
    }

    /** A zone's relays are lost with their machines, and start all at once after a change. */
    private double restartZone() {
        List<HollowRelay> zone = new ArrayList<>();
        for (int i = 0; i < fleet.relays().size(); i += ZONES) {
            zone.add(fleet.relays().get(i));
        }
        zone.forEach(relay -> relay.kill(true));
        proposeOne();
        settle();
        zone.forEach(HollowProcess::start);
        return secondsUntilActiveEverywhere();
    }

    private void settle() {
        fleet.clock().advance(durations.settleSeconds() * MICROS_PER_SECOND);
    }

    private double secondsUntilActiveEverywhere() {
        long micros = fleet.advanceUntilActiveEverywhere(STEP_MICROS, TIMEOUT_MICROS);
        if (micros < 0) {
            throw new IllegalStateException(
                    "not in force everywhere after " + TIMEOUT_MICROS / MICROS_PER_SECOND + " s");
        }
        return micros / (double) MICROS_PER_SECOND;
    }

    private Rates measureRates(double seconds, Runnable task) {
        fleet.relays().forEach(HollowProcess::resetCounters);
        fleet.machines().forEach(HollowProcess::resetCounters);
        long wallBefore = System.nanoTime();
        long threadBefore = threadCpuNanos();
        task.run();
        // timed by the wall, scaled to what this thread had of the processor
        double cpuFraction = durations.measuresCosts()
                ? (threadCpuNanos() - threadBefore) / (double) Math.max(1, System.nanoTime() - wallBefore)
                : 0;
        return new Rates(
                mean(fleet.relays(), relay -> relay.traffic().messages()) / seconds,
                mean(fleet.relays(), relay -> relay.traffic().bytes()) / seconds,
                max(fleet.relays(), relay -> relay.traffic().bytes()) / seconds,
                cpuFraction * mean(fleet.relays(), HollowProcess::busyNanos) / 1_000 / seconds,
                max(fleet.machines(), machine -> machine.traffic().messages()) / seconds,
                max(fleet.machines(), machine -> machine.traffic().bytes()) / seconds,
                max(fleet.machines(), machine -> machine.traffic().otherRegionBytes()) / seconds,
                cpuFraction * mean(fleet.machines(), HollowProcess::busyNanos) / 1_000 / seconds);
    }

    private static <T> double mean(List<T> processes, ToLongFunction<T> value) {
        return processes.stream().mapToLong(value).average().orElse(0);
    }

    private static <T> double max(List<T> processes, ToLongFunction<T> value) {
        return processes.stream().mapToLong(value).max().orElse(0);
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
