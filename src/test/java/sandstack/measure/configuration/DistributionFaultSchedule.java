package sandstack.measure.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;
import sandstack.configuration.FollowerSettings;
import sandstack.configuration.PublisherSettings;

/** A random schedule of faults and changes on a small hollow fleet. Deterministic for a seed. */
final class DistributionFaultSchedule implements NetworkFaults {
    static final long MICROS_PER_SECOND = 1_000_000;
    /** Maximum simulated time from the end of all faults until convergence. */
    static final long CONVERGENCE_TIMEOUT_MICROS = 16 * MICROS_PER_SECOND;

    private static final int RELAYS = 16;
    private static final int STEPS = 24;
    private static final int MAX_REPLAYED_CHANGES = 20;
    /** Settings with a short history and small chunks, so that relays also fetch snapshots. */
    private static final PublisherSettings SMALL_LIMITS = new PublisherSettings(
            20, 2 * MICROS_PER_SECOND, 8 * MICROS_PER_SECOND, 4, 400, 6, 1 << 20, 100, 3, 1 << 20, 1_000, 50, 200);

    private final SplittableRandom random;
    private final HollowConfigurationFleet fleet;
    private final DistributionInvariants invariants;
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> injectedFaults = new TreeSet<>();
    private boolean regionsPartitioned;
    private double lossRate;
    private double duplicationRate;
    private double delayRate;
    private long convergenceMicros;
    private int committedChanges;
    private int rejectedChanges;

    DistributionFaultSchedule(long seed) {
        random = new SplittableRandom(seed);
        int machines = random.nextBoolean() ? 7 : 5;
        fleet = new HollowConfigurationFleet(new HollowConfigurationFleet.Plan(
                RELAYS, machines, SMALL_LIMITS, FollowerSettings.DEFAULT, MAX_REPLAYED_CHANGES, random.nextLong()));
        invariants = new DistributionInvariants(fleet);
        fleet.relays().forEach(relay -> relay.store().keepHistory());
    }

    HollowConfigurationFleet fleet() {
        return fleet;
    }

    DistributionInvariants invariants() {
        return invariants;
    }

    /** Kinds of the faults that were injected so far. */
    Set<String> injectedFaults() {
        return injectedFaults;
    }

    /** Simulated time from the end of all faults until convergence; -1 after the timeout. */
    long convergenceMicros() {
        return convergenceMicros;
    }

    int committedChanges() {
        return committedChanges;
    }

    int rejectedChanges() {
        return rejectedChanges;
    }

    /** Runs the schedule, ends all faults and checks convergence. */
    DistributionFaultSchedule run() {
        fleet.setFaults(this);
        fleet.startAll();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        for (int step = 0; step < STEPS; step++) {
            propose();
            injectFault();
            fleet.clock().advance(random.nextLong(100_000, 3 * MICROS_PER_SECOND));
        }
        endFaults();
        propose();
        convergenceMicros = fleet.advanceUntilActiveEverywhere(MICROS_PER_SECOND / 20, CONVERGENCE_TIMEOUT_MICROS);
        invariants.checkConverged(fleet);
        return this;
    }

    private void propose() {
        List<HollowControlMachine> machines = fleet.machines();
        int changes = random.nextInt(4) == 0 ? random.nextInt(1, 40) : random.nextInt(1, 3);
        HollowControlMachine machine = machines.get(random.nextInt(machines.size()));
        for (int i = 0; i < changes; i++) {
            if (fleet.consensus().propose(machine, edits()).isEmpty()) {
                committedChanges++;
            } else {
                rejectedChanges++;
            }
        }
    }

    private List<ConfigurationEdit> edits() {
        String key = "key-" + random.nextInt(12);
        ConfigurationEdit edit =
                random.nextInt(4) == 0 ? new Remove(key) : new Put(key, "value-" + random.nextInt(1_000));
        return List.of(edit, new Put("serial", Integer.toString(random.nextInt())));
    }

    private void injectFault() {
        List<Runnable> kinds = List.of(
                this::killMachine,
                this::killRelay,
                this::startAll,
                this::pauseMachine,
                this::pauseRelay,
                this::resumeAll,
                this::cutLinksOneWay,
                this::healLinks,
                this::partitionRegions,
                this::healRegions,
                this::startNetworkFaults,
                this::endNetworkFaults);
        kinds.get(random.nextInt(kinds.size())).run();
    }

    private HollowControlMachine anyMachine() {
        return fleet.machines().get(random.nextInt(fleet.machines().size()));
    }

    private HollowConfigurationRelay anyRelay() {
        return fleet.relays().get(random.nextInt(fleet.relays().size()));
    }

    private void killMachine() {
        HollowControlMachine machine = anyMachine();
        if (!machine.isRunning()) {
            return;
        }
        machine.kill(random.nextBoolean());
        injectedFaults.add("kill machine");
        if (random.nextInt(3) == 0) {
            fleet.consensus().rollBack(machine, random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(1, 10));
            injectedFaults.add("rolled back or wiped disk of a machine");
        }
    }

    private void killRelay() {
        HollowConfigurationRelay relay = anyRelay();
        if (!relay.isRunning()) {
            return;
        }
        relay.kill(random.nextBoolean());
        injectedFaults.add("kill relay");
        switch (random.nextInt(6)) {
            case 0 -> {
                relay.store().wipe();
                onDiskChanged(relay, "wiped disk of a relay");
            }
            case 1 -> {
                relay.store().rollBack(random.nextInt(1, 7));
                onDiskChanged(relay, "rolled back disk of a relay");
            }
            case 2 -> {
                relay.store().corrupt();
                onDiskChanged(relay, "corrupted disk of a relay");
            }
            case 3 -> {
                relay.store().makeUnreadable();
                onDiskChanged(relay, "unreadable disk of a relay");
            }
            default -> injectedFaults.add("restart of a relay with its disk");
        }
    }

    private void onDiskChanged(HollowConfigurationRelay relay, String fault) {
        invariants.onDiskChanged(relay);
        injectedFaults.add(fault);
    }

    private void startAll() {
        fleet.startAll();
    }

    private void pauseMachine() {
        anyMachine().pause();
        injectedFaults.add("pause machine");
    }

    private void pauseRelay() {
        anyRelay().pause();
        injectedFaults.add("pause relay");
    }

    private void resumeAll() {
        fleet.machines().forEach(HollowProcess::resume);
        fleet.relays().forEach(HollowProcess::resume);
    }

    private void cutLinksOneWay() {
        HollowControlMachine machine = anyMachine();
        HollowProcess other = random.nextBoolean() ? anyRelay() : anyMachine();
        cutLinks.add(random.nextBoolean() ? link(machine, other) : link(other, machine));
        if (random.nextInt(3) == 0) {
            fleet.relays().forEach(relay -> cutLinks.add(link(machine, relay)));
        }
        injectedFaults.add("one-way partition");
    }

    private void healLinks() {
        cutLinks.clear();
    }

    private void partitionRegions() {
        regionsPartitioned = true;
        injectedFaults.add("partition of the regions");
    }

    private void healRegions() {
        regionsPartitioned = false;
    }

    private void startNetworkFaults() {
        lossRate = random.nextDouble() * 0.4;
        duplicationRate = random.nextDouble() * 0.3;
        delayRate = random.nextDouble() * 0.5;
        injectedFaults.add("loss, delay, reordering and duplication");
    }

    private void endNetworkFaults() {
        lossRate = 0;
        duplicationRate = 0;
        delayRate = 0;
    }

    private void endFaults() {
        healLinks();
        healRegions();
        endNetworkFaults();
        resumeAll();
        startAll();
    }

    private static String link(HollowProcess from, HollowProcess to) {
        return from.name() + ">" + to.name();
    }

    @Override
    public boolean canReach(HollowProcess from, HollowProcess to) {
        return !(regionsPartitioned && !from.region().equals(to.region())) && !cutLinks.contains(link(from, to));
    }

    @Override
    public int copies(HollowProcess from, HollowProcess to) {
        if (random.nextDouble() < lossRate) {
            return 0;
        }
        return random.nextDouble() < duplicationRate ? 2 : 1;
    }

    @Override
    public long extraDelayMicros(HollowProcess from, HollowProcess to) {
        return random.nextDouble() < delayRate ? random.nextLong(1, 2 * MICROS_PER_SECOND) : 0;
    }
}
