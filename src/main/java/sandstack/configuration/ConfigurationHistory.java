package sandstack.configuration;

import java.util.Optional;

/**
 * The replicated state machine of the configuration on each control machine: applies committed proposals in log order
 * and passes the resulting changes to the listener. The outcome of a proposal depends only on the proposals before it
 * (State Machine Safety, section 5.4 of the Raft paper), so that a proposal whose base version is no longer current is
 * rejected on all machines alike. Not thread-safe.
 */
public final class ConfigurationHistory {
    /** The outcome of a proposal that the consensus committed to its log. */
    public sealed interface Outcome {
        /** The proposal is valid and became the next change of the history. */
        record Accepted(CommittedChange change) implements Outcome {}

        /** The proposal is invalid at its position in the log; the configuration is unchanged. */
        record Rejected(ChangeRejection rejection) implements Outcome {}
    }

    private final ChangeValidator validator;
    private final CommittedChangeListener listener;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;

    /** Creates an empty history, at {@link ConfigurationVersion#NONE}. */
    public ConfigurationHistory(ChangeValidator validator, CommittedChangeListener listener) {
        this.validator = validator;
        this.listener = listener;
    }

    /** The configuration after the last committed change. */
    public ConfigurationSnapshot current() {
        return current;
    }

    /**
     * Why a proposal would be rejected if it were the next in the log; empty if it would be accepted. For a check
     * before the proposal is replicated.
     */
    public Optional<ChangeRejection> validate(ConfigurationChange change) {
        return validator.validate(current, change);
    }

    /**
     * Applies a committed proposal. An accepted change is passed to the listener before this returns.
     *
     * @param term the term of the log entry, which is the same on all machines
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

    /** Replaces the state with a snapshot that the consensus installs; ignores one that is not later than the state. */
    public void restore(ConfigurationSnapshot snapshot) {
        if (snapshot.version().index() <= current.version().index()) {
            return;
        }
        current = snapshot;
        listener.restored(snapshot);
    }
}
