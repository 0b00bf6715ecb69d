package sandstack.configuration.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationVersion;

/** Runs control machines in two regions, the first of which has the minority, in simulated time on one thread. */
final class SimulatedCluster {
    private static final ControlNodeSettings.Timeouts TIMEOUTS = ControlNodeSettings.Timeouts.DEFAULT;
    private static final int MAX_PENDING_PROPOSALS = 64;
    /** Switched off. The level would be lost without this reference, as the log manager keeps loggers only weakly. */
    private static final Logger MICRORAFT_LOGGER = Logger.getLogger("io.microraft");

    static {
        MICRORAFT_LOGGER.setLevel(Level.OFF);
    }

    /** A client's attempt to have a change committed; the outcome is null while the attempt is pending. */
    static final class Attempt {
        final String change;
        final long proposedMicros;
        long completedMicros;
        ProposalOutcome outcome;

        private Attempt(String change, long proposedMicros) {
            this.change = change;
            this.proposedMicros = proposedMicros;
        }

        /** Returns the time from the proposal to its outcome. */
        long latencyMillis() {
            return (completedMicros - proposedMicros) / 1_000;
        }
    }

    final SimulatedTime time = new SimulatedTime();
    final SplittableRandom random;
    final SimulatedRaftNetwork network;
    final HistoryChecker checker = new HistoryChecker();
    final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<ControlIdentity> voters = new ArrayList<>();
    private final Set<Attempt> pendingAttempts = new HashSet<>();
    private final int snapshotIntervalEntries;
    private int generatedChanges;

    SimulatedCluster(int size, long seed, int snapshotIntervalEntries) {
        this.random = new SplittableRandom(seed);
        this.network = new SimulatedRaftNetwork(time, random.split());
        this.snapshotIntervalEntries = snapshotIntervalEntries;
        for (int i = 0; i < size; i++) {
            voters.add(new ControlIdentity("control-" + i));
        }
        for (int i = 0; i < size; i++) {
            machines.add(new SimulatedMachine(this, voters.get(i), i < size / 2 ? 0 : 1));
        }
    }

    void startAll() {
        machines.forEach(this::start);
    }

    void start(SimulatedMachine machine) {
        machine.start(settings(machine.identity));
    }

    /** Adds a machine that is not a member of the group. */
    SimulatedMachine add(String identity, int region) {
        SimulatedMachine machine = new SimulatedMachine(this, new ControlIdentity(identity), region);
        machines.add(machine);
        return machine;
    }

    ControlNodeSettings settings(ControlIdentity self) {
        return new ControlNodeSettings(
                SimulatedRaftNetwork.GROUP, self, voters, TIMEOUTS, MAX_PENDING_PROPOSALS, snapshotIntervalEntries);
    }

    void runFor(Duration duration) {
        time.runForMillis(duration.toMillis());
    }

    /** Returns the machine that leads in the latest term among those that are up and not paused. */
    Optional<SimulatedMachine> leader() {
        return machines.stream()
                .filter(SimulatedMachine::isWorking)
                .filter(machine -> machine.node.leader().equals(Optional.of(machine.identity)))
                .max((one, other) -> Long.compare(one.node.currentTerm(), other.node.currentTerm()));
    }

    SimulatedMachine awaitLeader() {
        for (int i = 0; i < 600 && leader().isEmpty(); i++) {
            time.runForMillis(100);
        }
        return leader().orElseThrow(() -> new AssertionError("no leader within 60 s"));
    }

    /** Returns a random change; its reason is unique and identifies it in the checker. */
    ConfigurationChange randomChange(ConfigurationVersion base) {
        String reason = "change " + generatedChanges++;
        String key = "key-" + random.nextInt(20);
        return ConfigurationChange.of(base, "ann", reason, List.of(new ConfigurationEdit.Put(key, reason)));
    }

    static IdempotencyKey keyOf(ConfigurationChange change) {
        return new IdempotencyKey(0, change.reason().hashCode());
    }

    /** Proposes a change to a machine, which must be up, and reports the outcome to the checker. */
    Attempt propose(SimulatedMachine machine, ConfigurationChange change) {
        Attempt attempt = new Attempt(change.reason(), time.nowMicros());
        checker.proposed(change.reason());
        pendingAttempts.add(attempt);
        machine.node.propose(keyOf(change), change).thenAccept(outcome -> {
            attempt.outcome = outcome;
            attempt.completedMicros = time.nowMicros();
            pendingAttempts.remove(attempt);
            checker.outcomeReported(change.reason(), outcome);
        });
        return attempt;
    }

    /**
     * Proposes a change, based on the leader's configuration, to the leader and waits up to 10 s for the outcome, which
     * is null if there is none by then.
     */
    Attempt commitChange() {
        SimulatedMachine leader = awaitLeader();
        Attempt attempt = propose(leader, randomChange(leader.node.current().version()));
        for (int i = 0; i < 1_000 && attempt.outcome == null; i++) {
            time.runForMillis(10);
        }
        return attempt;
    }

    /** Drops all messages between the regions, in both directions. */
    void cutRegions() {
        for (SimulatedMachine one : machines) {
            for (SimulatedMachine other : machines) {
                if (one.region != other.region) {
                    network.cut(one.identity, other.identity);
                }
            }
        }
    }

    boolean majorityStores(CommittedChange change) {
        long holders = machines.stream()
                .filter(machine -> machine.storesDurably(change))
                .count();
        return holders > voters.size() / 2;
    }

    boolean allConfigurationsEqual() {
        return machines.stream()
                        .map(machine -> machine.node.current())
                        .distinct()
                        .count()
                == 1;
    }

    /** Ends all faults, runs for the recovery time, and returns the violations. */
    List<String> recoverAndCheck(Duration recoveryTime) {
        network.heal();
        network.lossRatio = 0;
        for (SimulatedMachine machine : machines) {
            if (!machine.isUp()) {
                start(machine);
            } else if (!machine.isWorking()) {
                machine.resume();
            }
        }
        runFor(recoveryTime);
        Set<String> pendingChanges = new HashSet<>();
        pendingAttempts.forEach(attempt -> pendingChanges.add(attempt.change));
        checker.finish(pendingChanges);
        List<String> violations = new ArrayList<>(checker.violations);
        if (!allConfigurationsEqual()) {
            violations.add("the machines still differ " + recoveryTime + " after all faults ended");
        }
        return violations;
    }
}
