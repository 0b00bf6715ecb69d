package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.ChangeRejection;
import sandstack.configuration.ChangeRejection.Reason;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationHistory;
import sandstack.configuration.ConfigurationSnapshot;

/**
 * Model of the consensus of the control machines. A change is committed if its proposer reaches a majority of all
 * machines in both directions; a machine replicates committed changes while it reaches such a majority. Messages of the
 * consensus are not counted. Not thread-safe.
 */
public final class ModelledConsensus implements CommittedChangeListener {
    /** Time without a majority after which a machine reports that it has no quorum. */
    private static final long QUORUM_TIMEOUT_MICROS = 1_000_000;
    /**
     * Time from a commit until all machines with a majority have replicated it; the periodic turn of a machine may do
     * so earlier. More than the mean one-way latency between regions.
     */
    private static final long REPLICATION_DELAY_MICROS = 60_000;

    /** State of one control machine's replica of the committed changes. */
    private static final class Replica {
        int appliedChanges;
        long lastMajorityMicros = Long.MIN_VALUE / 2;
    }

    private final HollowConfigurationFleet fleet;
    private final int maxReplayedChanges;
    private final ConfigurationHistory history;
    private final List<CommittedChange> changes = new ArrayList<>();
    private final List<ConfigurationSnapshot> states = new ArrayList<>(List.of(ConfigurationSnapshot.EMPTY));
    private final List<Long> commitMicros = new ArrayList<>();
    private final Map<HollowControlMachine, Replica> replicas = new HashMap<>();
    private HollowControlMachine leader;
    private long term;

    ModelledConsensus(HollowConfigurationFleet fleet, ChangeValidator validator, int maxReplayedChanges) {
        this.fleet = fleet;
        this.maxReplayedChanges = maxReplayedChanges;
        this.history = new ConfigurationHistory(validator, this);
    }

    @Override
    public void committed(CommittedChange change) {
        changes.add(change);
        states.add(history.current());
        commitMicros.add(fleet.clock().nowMicros());
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        throw new IllegalStateException("the committed history is never restored");
    }

    /** The snapshot after the last committed change. */
    public ConfigurationSnapshot current() {
        return history.current();
    }

    /** The snapshot after the committed change at an index; empty if there is none. */
    public Optional<ConfigurationSnapshot> state(long index) {
        return index < states.size() ? Optional.of(states.get((int) index)) : Optional.empty();
    }

    /** Simulated commit time of the change at an index, in microseconds. */
    public long commitMicros(long index) {
        return commitMicros.get((int) index - 1);
    }

    /** Proposes a change of the current snapshot at a machine; returns the reason if it is rejected. */
    public Optional<ChangeRejection> propose(HollowControlMachine machine, List<ConfigurationEdit> edits) {
        if (!hasMajority(machine)) {
            return Optional.of(new ChangeRejection(Reason.NO_QUORUM, machine.name() + " reaches no majority"));
        }
        if (leader != machine) {
            leader = machine;
            term++;
        }
        ConfigurationChange change =
                ConfigurationChange.of(current().version(), "operator", "a simulated change", edits);
        ConfigurationHistory.Outcome outcome = history.applyCommitted(term, change);
        if (outcome instanceof ConfigurationHistory.Outcome.Rejected rejected) {
            return Optional.of(rejected.rejection());
        }
        fleet.clock().schedule(REPLICATION_DELAY_MICROS, () -> fleet.machines()
                .forEach(each -> each.execute(() -> runTurn(each))));
        return Optional.empty();
    }

    /** Whether a machine reaches a majority of all machines in both directions. */
    public boolean hasMajority(HollowControlMachine machine) {
        if (!isUp(machine)) {
            return false;
        }
        int reachableMachines = 0;
        for (HollowControlMachine other : fleet.machines()) {
            boolean reachable = other == machine
                    || (isUp(other)
                            && fleet.network().canReach(machine, other)
                            && fleet.network().canReach(other, machine));
            reachableMachines += reachable ? 1 : 0;
        }
        return 2 * reachableMachines > fleet.machines().size();
    }

    /** Rolls the disk of a machine back by {@code steps} changes, at most to the empty configuration. */
    public void rollBack(HollowControlMachine machine, int steps) {
        Replica replica = replica(machine);
        replica.appliedChanges = Math.max(0, replica.appliedChanges - steps);
    }

    void onStarted(HollowControlMachine machine) {
        Replica replica = replica(machine);
        replica.lastMajorityMicros = Long.MIN_VALUE / 2;
        if (replica.appliedChanges > 0) {
            machine.publisher().restored(states.get(replica.appliedChanges));
        }
    }

    void runTurn(HollowControlMachine machine) {
        Replica replica = replica(machine);
        long now = fleet.clock().nowMicros();
        if (hasMajority(machine)) {
            replica.lastMajorityMicros = now;
            catchUp(machine, replica);
        }
        machine.publisher().setQuorumReached(now - replica.lastMajorityMicros < QUORUM_TIMEOUT_MICROS);
    }

    private void catchUp(HollowControlMachine machine, Replica replica) {
        if (changes.size() - replica.appliedChanges > maxReplayedChanges) {
            replica.appliedChanges = changes.size();
            machine.publisher().restored(current());
        }
        while (replica.appliedChanges < changes.size()) {
            machine.publisher().committed(changes.get(replica.appliedChanges));
            replica.appliedChanges++;
        }
    }

    private Replica replica(HollowControlMachine machine) {
        return replicas.computeIfAbsent(machine, m -> new Replica());
    }

    private static boolean isUp(HollowControlMachine machine) {
        return machine.isRunning() && !machine.isPaused();
    }
}
