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
 * Stands for the consensus of the control machines: what it agrees on, who hears of it, and who has a quorum. A change
 * is agreed where a majority of all machines is reached both ways from the one that proposes, and a machine learns what
 * was agreed while it reaches such a majority. Its own messages are not counted. One thread.
 */
public final class ModelledConsensus implements CommittedChangeListener {
    /** A machine that lacks a majority for so long says that it lacks a quorum, in microseconds. */
    private static final long QUORUM_TIMEOUT = 1_000_000;
    /** From the agreement to the next machine's knowledge, in microseconds: one way between regions and some. */
    private static final long REPLICATION = 60_000;

    /** What a machine's disk holds. */
    private static final class Replica {
        int applied;
        long majorityAt = Long.MIN_VALUE / 2;
    }

    private final HollowConfigurationFleet fleet;
    private final int mostReplayed;
    private final ConfigurationHistory history;
    private final List<CommittedChange> changes = new ArrayList<>();
    private final List<ConfigurationSnapshot> states = new ArrayList<>(List.of(ConfigurationSnapshot.EMPTY));
    private final List<Long> agreedAt = new ArrayList<>();
    private final Map<HollowControlMachine, Replica> replicas = new HashMap<>();
    private HollowControlMachine leader;
    private long term;

    ModelledConsensus(HollowConfigurationFleet fleet, ChangeValidator validator, int mostReplayed) {
        this.fleet = fleet;
        this.mostReplayed = mostReplayed;
        this.history = new ConfigurationHistory(validator, this);
    }

    @Override
    public void committed(CommittedChange change) {
        changes.add(change);
        states.add(history.current());
        agreedAt.add(fleet.clock().now());
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        throw new IllegalStateException("the agreed history itself is never restored");
    }

    /** The state after the last agreed change. */
    public ConfigurationSnapshot current() {
        return history.current();
    }

    /** The agreed state with this index. */
    public Optional<ConfigurationSnapshot> state(long index) {
        return index < states.size() ? Optional.of(states.get((int) index)) : Optional.empty();
    }

    /** When the change with this index was agreed. */
    public long agreedAt(long index) {
        return agreedAt.get((int) index - 1);
    }

    /** Proposes a change on the current state at a machine. */
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
        if (outcome instanceof ConfigurationHistory.Outcome.Rejected refused) {
            return Optional.of(refused.rejection());
        }
        fleet.clock().after(REPLICATION, () -> fleet.machines().forEach(each -> each.work(() -> turn(each))));
        return Optional.empty();
    }

    /** Whether this machine reaches more than half of all, and they reach it. */
    public boolean hasMajority(HollowControlMachine machine) {
        if (!isUp(machine)) {
            return false;
        }
        int reached = 0;
        for (HollowControlMachine other : fleet.machines()) {
            boolean both = other == machine
                    || (isUp(other)
                            && fleet.network().passes(machine, other)
                            && fleet.network().passes(other, machine));
            reached += both ? 1 : 0;
        }
        return 2 * reached > fleet.machines().size();
    }

    /** The disk of a machine holds an older state, or none. */
    public void goBack(HollowControlMachine machine, int steps) {
        Replica replica = replica(machine);
        replica.applied = Math.max(0, replica.applied - steps);
    }

    void started(HollowControlMachine machine) {
        Replica replica = replica(machine);
        replica.majorityAt = Long.MIN_VALUE / 2;
        if (replica.applied > 0) {
            machine.publisher().restored(states.get(replica.applied));
        }
    }

    void turn(HollowControlMachine machine) {
        Replica replica = replica(machine);
        long now = fleet.clock().now();
        if (hasMajority(machine)) {
            replica.majorityAt = now;
            catchUp(machine, replica);
        }
        machine.publisher().setQuorumReached(now - replica.majorityAt < QUORUM_TIMEOUT);
    }

    private void catchUp(HollowControlMachine machine, Replica replica) {
        if (changes.size() - replica.applied > mostReplayed) {
            replica.applied = changes.size();
            machine.publisher().restored(current());
        }
        while (replica.applied < changes.size()) {
            machine.publisher().committed(changes.get(replica.applied));
            replica.applied++;
        }
    }

    private Replica replica(HollowControlMachine machine) {
        return replicas.computeIfAbsent(machine, m -> new Replica());
    }

    private static boolean isUp(HollowControlMachine machine) {
        return machine.isRunning() && !machine.isPaused();
    }
}
