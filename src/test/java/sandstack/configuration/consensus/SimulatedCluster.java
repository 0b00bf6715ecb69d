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

/** Control machines in two regions, the first with the smaller half, in simulated time on one thread. */
final class SimulatedCluster {
    private static final ControlNodeSettings.Timeouts TIMES = ControlNodeSettings.Timeouts.DEFAULT;
    private static final int MAX_PENDING_PROPOSALS = 64;
    /** Silenced; referenced here because a logger without a reference loses its level. */
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");

    static {
        LIBRARY.setLevel(Level.OFF);
    }

    /** A client's attempt to have a change committed. */
    static final class Attempt {
        final String change;
        final long proposedMicros;
        long answeredMicros;
        ProposalOutcome outcome;

        private Attempt(String change, long askedMicros) {
            this.change = change;
            this.proposedMicros = askedMicros;
        }

        long millis() {
            return (answeredMicros - proposedMicros) / 1_000;
        }
    }

    final SimulatedTime time = new SimulatedTime();
    final SplittableRandom random;
    final SimulatedNetwork network;
    final HistoryChecker checker = new HistoryChecker();
    final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<ControlIdentity> voters = new ArrayList<>();
    private final Set<Attempt> unanswered = new HashSet<>();
    private final int snapshotIntervalEntries;
    private int generatedChanges;

    SimulatedCluster(int size, long seed, int snapshotIntervalEntries) {
        this.random = new SplittableRandom(seed);
        this.network = new SimulatedNetwork(time, random.split());
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

    /** Adds a machine that is no voter yet. */
    SimulatedMachine add(String identity, int region) {
        SimulatedMachine machine = new SimulatedMachine(this, new ControlIdentity(identity), region);
        machines.add(machine);
        return machine;
    }

    ControlNodeSettings settings(ControlIdentity self) {
        return new ControlNodeSettings(
                SimulatedNetwork.GROUP, self, voters, TIMES, MAX_PENDING_PROPOSALS, snapshotIntervalEntries);
    }

    void runFor(Duration duration) {
        time.runForMillis(duration.toMillis());
    }

    /** The working machine that leads in the latest term. */
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

    /** A random change with a unique reason. */
    ConfigurationChange randomChange(ConfigurationVersion base) {
        String reason = "change " + generatedChanges++;
        String key = "key-" + random.nextInt(20);
        return ConfigurationChange.of(base, "ann", reason, List.of(new ConfigurationEdit.Put(key, reason)));
    }

    static IdempotencyKey keyOf(ConfigurationChange change) {
        return new IdempotencyKey(0, change.reason().hashCode());
    }

    /** A client proposes a change to a machine that is up. */
    Attempt propose(SimulatedMachine machine, ConfigurationChange change) {
        Attempt attempt = new Attempt(change.reason(), time.nowMicros());
        checker.proposed(change.reason());
        unanswered.add(attempt);
        machine.node.propose(keyOf(change), change).thenAccept(outcome -> {
            attempt.outcome = outcome;
            attempt.answeredMicros = time.nowMicros();
            unanswered.remove(attempt);
            checker.outcomeReported(change.reason(), outcome);
        });
        return attempt;
    }

    /** A client proposes a change on the leader's state to it, and waits for the outcome. */
    Attempt commitChange() {
        SimulatedMachine leader = awaitLeader();
        Attempt attempt = propose(leader, randomChange(leader.node.current().version()));
        for (int i = 0; i < 1_000 && attempt.outcome == null; i++) {
            time.runForMillis(10);
        }
        return attempt;
    }

    /** Cuts the regions from each other, both ways. */
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

    boolean allEqual() {
        return machines.stream()
                        .map(machine -> machine.node.current())
                        .distinct()
                        .count()
                == 1;
    }

    /** Ends all faults, runs for the recovery time, and returns the violations. */
    List<String> recoverAndCheck(Duration recoveryTime) {
        network.heal();
        network.lossShare = 0;
        for (SimulatedMachine machine : machines) {
            if (!machine.isUp()) {
                start(machine);
            } else if (!machine.isWorking()) {
                machine.resume();
            }
        }
        runFor(recoveryTime);
        Set<String> open = new HashSet<>();
        unanswered.forEach(attempt -> open.add(attempt.change));
        checker.finish(open);
        List<String> violations = new ArrayList<>(checker.violations);
        if (!allEqual()) {
            violations.add("the machines differ " + recoveryTime + " after all is mended");
        }
        return violations;
    }
}
