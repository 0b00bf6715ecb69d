package sandstack.measure.configuration;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.measure.configuration.FleetScenarioResult.FaultEffect;
import sandstack.measure.configuration.FleetScenarioResult.Rates;

/**
 * Runs a sequence of changes and faults on a hollow fleet of one size and measures their costs and latencies. Not
 * thread-safe.
 */
final class FleetScenario {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long STEP_MICROS = 20_000;
    /** Maximum simulated time until a change is active at all relays. */
    private static final long TIMEOUT_MICROS = 120 * MICROS_PER_SECOND;

    private static final int MACHINES = 7;
    private static final int ZONES = 8;
    private static final int KEYS = 200;
    private static final int VALUE_CHARACTERS = 100;
    private static final int EDITS_PER_CHANGE = 2;
    private static final double CHANGES_PER_DAY = 3_700;
    private static final long CHANGE_INTERVAL_MICROS = (long) (86_400 * MICROS_PER_SECOND / CHANGES_PER_DAY);

    /**
     * Durations of the phases, in simulated seconds.
     *
     * @param changes number of changes in the phase with changes
     * @param measuresCosts whether to measure processor time and heap, which differ from run to run
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

    /** Runs all phases. Must be called only once. */
    FleetScenarioResult run() {
        long heapBytesBefore = durations.measuresCosts() ? UsedHeap.bytes() : 0;
        double convergenceAfterStart = startFleet();
        settle();
        double heapBytesPerRelay = durations.measuresCosts()
                ? (double) (UsedHeap.bytes() - heapBytesBefore) / fleet.relays().size()
                : 0;
        Rates idle = measureRates(
                durations.idleSeconds(), () -> fleet.clock().advance(durations.idleSeconds() * MICROS_PER_SECOND));
        ChangePhase changes = measureChanges();
        PeakHelloRate hellos = new PeakHelloRate(fleet);
        FaultEffect kill = measureKill(hellos);
        fleet.startAll();
        settle();
        hellos.takePeak(); // discards the peak of the restart
        PartitionPhase partition = measurePartition(hellos);
        settle();
        hellos.takePeak(); // discards the peak after the partition
        FaultEffect zoneStart = measureZoneStart(hellos);
        int maxSessions = fleet.machines().stream()
                .mapToInt(HollowControlMachine::maxSessions)
                .max()
                .orElse(0);
        return new FleetScenarioResult(
                fleet.relays().size(),
                idle,
                changes.rates(),
                partition.rates(),
                changes.activationSeconds(),
                kill,
                partition.effect(),
                zoneStart,
                convergenceAfterStart,
                maxSessions,
                heapBytesPerRelay);
    }

    /** Rates at the planned rate of changes, and the longest time until a change was active at all relays. */
    private record ChangePhase(Rates rates, double activationSeconds) {}

    /** Rates during a partition, and the effect of its end. */
    private record PartitionPhase(Rates rates, FaultEffect effect) {}

    /** Returns the seconds from the start of the relays until all have the initial configuration. */
    private double startFleet() {
        fleet.machines().forEach(HollowProcess::start);
        proposeInitialConfiguration();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        fleet.relays().forEach(HollowProcess::start);
        return secondsUntilActiveEverywhere();
    }

    private ChangePhase measureChanges() {
        double[] longestSeconds = {0};
        double phaseSeconds = durations.changes() * CHANGE_INTERVAL_MICROS / (double) MICROS_PER_SECOND;
        Rates rates = measureRates(phaseSeconds, () -> longestSeconds[0] = runChanges(durations.changes()));
        return new ChangePhase(rates, longestSeconds[0]);
    }

    private FaultEffect measureKill(PeakHelloRate hellos) {
        double seconds = killBusiestMachine();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        return new FaultEffect(seconds, hellos.takePeak());
    }

    private PartitionPhase measurePartition(PeakHelloRate hellos) {
        Rates rates = measureRates(durations.partitionSeconds(), this::partitionRegions);
        double peakHellos = hellos.takePeak();
        return new PartitionPhase(rates, new FaultEffect(healRegions(), peakHellos));
    }

    private FaultEffect measureZoneStart(PeakHelloRate hellos) {
        double seconds = restartZone();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        return new FaultEffect(seconds, hellos.takePeak());
    }

    /** Commits the initial configuration, with {@value #KEYS} keys. */
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

    /**
     * Proposes changes at the planned rate; returns the longest time until one was active at all relays, in seconds.
     */
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

    /**
     * Kills the control machine with most relays immediately before a change is proposed; returns the seconds until the
     * change is active at all relays.
     */
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

    /**
     * Kills the relays of a zone, proposes a change and restarts the relays; returns the seconds from the restart until
     * convergence.
     */
    private double restartZone() {
        List<HollowConfigurationRelay> zone = new ArrayList<>();
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
                    "the change is not active at all relays after " + TIMEOUT_MICROS / MICROS_PER_SECOND + " s");
        }
        return micros / (double) MICROS_PER_SECOND;
    }

    private Rates measureRates(double seconds, Runnable task) {
        fleet.relays().forEach(HollowProcess::resetCounters);
        fleet.machines().forEach(HollowProcess::resetCounters);
        long wallBefore = System.nanoTime();
        long threadBefore = threadCpuNanos();
        task.run();
        // converts busyNanos, which is wall-clock time, to processor time by the share of the task in which this thread
        // ran
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
