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

/** One drawn schedule of faults and changes on a small fleet, from a seed. */
final class DrawnFaults implements NetworkFaults {
    static final long SECOND = 1_000_000;
    /** All relays hold the same so long after the faults end. */
    static final long EQUAL_WITHIN = 16 * SECOND;

    private static final int RELAYS = 16;
    private static final int STEPS = 24;
    private static final int MOST_REPLAYED = 20;
    /** A short history and small parts, so that snapshots are fetched as well. */
    private static final PublisherSettings SMALL =
            new PublisherSettings(20, 2 * SECOND, 8 * SECOND, 4, 400, 6, 1 << 20, 100, 3, 1 << 20, 1_000, 50, 200);

    private final SplittableRandom random;
    private final HollowConfigurationFleet fleet;
    private final DistributionRules rules;
    private final Set<String> cut = new HashSet<>();
    private final Set<String> done = new TreeSet<>();
    private boolean regionsCut;
    private double loss;
    private double duplication;
    private double delays;
    private long settledAfter;
    private int agreed;
    private int refused;

    DrawnFaults(long seed) {
        random = new SplittableRandom(seed);
        int machines = random.nextBoolean() ? 7 : 5;
        fleet = new HollowConfigurationFleet(new HollowConfigurationFleet.Plan(
                RELAYS, machines, SMALL, FollowerSettings.DEFAULT, MOST_REPLAYED, random.nextLong()));
        rules = new DistributionRules(fleet);
        fleet.relays().forEach(relay -> relay.store().keepHistory());
    }

    HollowConfigurationFleet fleet() {
        return fleet;
    }

    DistributionRules rules() {
        return rules;
    }

    /** Kinds of faults that were drawn. */
    Set<String> done() {
        return done;
    }

    /** From the end of all faults until all relays held the same; -1 where they did not in time. */
    long settledAfter() {
        return settledAfter;
    }

    int agreed() {
        return agreed;
    }

    int refused() {
        return refused;
    }

    /** Plays the schedule, ends all faults, and looks at what holds then. */
    DrawnFaults play() {
        fleet.setFaults(this);
        fleet.startAll();
        fleet.clock().advance(2 * SECOND);
        for (int step = 0; step < STEPS; step++) {
            propose();
            fault();
            fleet.clock().advance(random.nextLong(100_000, 3 * SECOND));
        }
        endFaults();
        propose();
        settledAfter = fleet.advanceUntilActiveEverywhere(SECOND / 20, EQUAL_WITHIN);
        rules.settled(fleet);
        return this;
    }

    private void propose() {
        List<HollowControlMachine> machines = fleet.machines();
        int changes = random.nextInt(4) == 0 ? random.nextInt(1, 40) : random.nextInt(1, 3);
        HollowControlMachine machine = machines.get(random.nextInt(machines.size()));
        for (int i = 0; i < changes; i++) {
            if (fleet.consensus().propose(machine, edits()).isEmpty()) {
                agreed++;
            } else {
                refused++;
            }
        }
    }

    private List<ConfigurationEdit> edits() {
        String key = "key-" + random.nextInt(12);
        ConfigurationEdit edit =
                random.nextInt(4) == 0 ? new Remove(key) : new Put(key, "value-" + random.nextInt(1_000));
        return List.of(edit, new Put("serial", Integer.toString(random.nextInt())));
    }

    private void fault() {
        List<Runnable> kinds = List.of(
                this::killMachine,
                this::killRelay,
                this::startAll,
                this::pauseMachine,
                this::pauseRelay,
                this::resumeAll,
                this::cutOneWay,
                this::healLinks,
                this::cutRegions,
                this::healRegions,
                this::disturbNetwork,
                this::calmNetwork);
        kinds.get(random.nextInt(kinds.size())).run();
    }

    private HollowControlMachine anyMachine() {
        return fleet.machines().get(random.nextInt(fleet.machines().size()));
    }

    private HollowRelay anyRelay() {
        return fleet.relays().get(random.nextInt(fleet.relays().size()));
    }

    private void killMachine() {
        HollowControlMachine machine = anyMachine();
        if (!machine.isRunning()) {
            return;
        }
        machine.kill(random.nextBoolean());
        done.add("kill machine");
        if (random.nextInt(3) == 0) {
            fleet.consensus().rollBack(machine, random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(1, 10));
            done.add("older or wiped disk of a machine");
        }
    }

    private void killRelay() {
        HollowRelay relay = anyRelay();
        if (!relay.isRunning()) {
            return;
        }
        relay.kill(random.nextBoolean());
        done.add("kill relay");
        switch (random.nextInt(6)) {
            case 0 -> {
                relay.store().wipe();
                changedDisk(relay, "wiped disk of a relay");
            }
            case 1 -> {
                relay.store().rollBack(random.nextInt(1, 7));
                changedDisk(relay, "older disk of a relay");
            }
            case 2 -> {
                relay.store().corrupt();
                changedDisk(relay, "damaged disk of a relay");
            }
            case 3 -> {
                relay.store().makeUnreadable();
                changedDisk(relay, "unreadable disk of a relay");
            }
            default -> done.add("restart of a relay with its disk");
        }
    }

    private void changedDisk(HollowRelay relay, String what) {
        rules.diskChanged(relay);
        done.add(what);
    }

    private void startAll() {
        fleet.startAll();
    }

    private void pauseMachine() {
        anyMachine().pause();
        done.add("pause machine");
    }

    private void pauseRelay() {
        anyRelay().pause();
        done.add("pause relay");
    }

    private void resumeAll() {
        fleet.machines().forEach(HollowProcess::resume);
        fleet.relays().forEach(HollowProcess::resume);
    }

    private void cutOneWay() {
        HollowControlMachine machine = anyMachine();
        HollowProcess other = random.nextBoolean() ? anyRelay() : anyMachine();
        cut.add(random.nextBoolean() ? link(machine, other) : link(other, machine));
        if (random.nextInt(3) == 0) {
            fleet.relays().forEach(relay -> cut.add(link(machine, relay)));
        }
        done.add("one-way cut");
    }

    private void healLinks() {
        cut.clear();
    }

    private void cutRegions() {
        regionsCut = true;
        done.add("cut of the regions");
    }

    private void healRegions() {
        regionsCut = false;
    }

    private void disturbNetwork() {
        loss = random.nextDouble() * 0.4;
        duplication = random.nextDouble() * 0.3;
        delays = random.nextDouble() * 0.5;
        done.add("loss, delay, reordering and duplication");
    }

    private void calmNetwork() {
        loss = 0;
        duplication = 0;
        delays = 0;
    }

    private void endFaults() {
        healLinks();
        healRegions();
        calmNetwork();
        resumeAll();
        startAll();
    }

    private static String link(HollowProcess from, HollowProcess to) {
        return from.name() + ">" + to.name();
    }

    @Override
    public boolean canReach(HollowProcess from, HollowProcess to) {
        return !(regionsCut && !from.region().equals(to.region())) && !cut.contains(link(from, to));
    }

    @Override
    public int copies(HollowProcess from, HollowProcess to) {
        if (random.nextDouble() < loss) {
            return 0;
        }
        return random.nextDouble() < duplication ? 2 : 1;
    }

    @Override
    public long extraDelayMicros(HollowProcess from, HollowProcess to) {
        return random.nextDouble() < delays ? random.nextLong(1, 2 * SECOND) : 0;
    }
}
