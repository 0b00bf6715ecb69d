package sandstack.configuration;

import java.util.Optional;

/**
 * The replicated state machine of the configuration on each control machine: committed proposals are applied in the
 * order of the log, and committed changes go to the listener. The outcome depends on nothing but the proposals before
 * (State Machine Safety, section 5.4 of the Raft paper), so that a proposal whose base is no longer current is rejected
 * alike on all machines. Not thread-safe.
 */
public final class ConfigurationHistory {
    /** What became of a committed proposal. */
    public sealed interface Outcome {
        /** It is the next change. */
        record Accepted(CommittedChange change) implements Outcome {}

        /** It changes nothing. */
        record Rejected(ChangeRejection rejection) implements Outcome {}
    }

    private final ChangeValidator validator;
    private final CommittedChangeListener listener;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;

    /** Begins before the first change. */
    public ConfigurationHistory(ChangeValidator validator, CommittedChangeListener listener) {
        this.validator = validator;
        this.listener = listener;
    }

    /** The state after the last change. */
    public ConfigurationSnapshot current() {
        return current;
    }

    /** Why a proposal would be rejected if it were committed now; checked before it is replicated. */
    public Optional<ChangeRejection> validate(ConfigurationChange change) {
        return validator.validate(current, change);
    }

    /**
     * Applies a committed proposal.
     *
     * @param term of the leader that proposed it, as the log says, so that all machines see the same
     */
    public Outcome applyCommitted(long term, ConfigurationChange change) {
        Optional<ChangeRejection> rejection = validator.validate(current, change);
        if (rejection.isPresent()) {
            return new Outcome.Rejected(rejection.get());
        }
        ConfigurationVersion version = current.version().next(term);
        current = current.apply(version, change);
        CommittedChange committed = new CommittedChange(version, change, current.digest());
        listener.committed(committed);
        return new Outcome.Accepted(committed);
    }

    /** Replaces the state by a snapshot that the consensus installs; the same version or an earlier one is ignored. */
    public void restore(ConfigurationSnapshot snapshot) {
        if (snapshot.version().index() <= current.version().index()) {
            return;
        }
        current = snapshot;
        listener.restored(snapshot);
    }
}
