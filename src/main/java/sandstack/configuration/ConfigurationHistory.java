package sandstack.configuration;

import java.util.Optional;

/**
 * The state machine that the consensus drives on each control machine: committed proposals go in, in the one order of
 * the log, and agreed changes come out to the listener. The same proposals give the same changes on every machine, so a
 * proposal that came too late for its base is refused by all of them alike. One thread.
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

    /** Why a proposal would be refused if it were committed now; asked before it is put to the others. */
    public Optional<ChangeRejection> validate(ConfigurationChange change) {
        return validator.validate(current, change);
    }

    /**
     * A proposal was committed.
     *
     * @param term of the leader that proposed it, as the proposal itself says, so that all machines see the same
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

    /** The consensus replaces the state by a later one; the same or an earlier one changes nothing. */
    public void restore(ConfigurationSnapshot snapshot) {
        if (snapshot.version().index() <= current.version().index()) {
            return;
        }
        current = snapshot;
        listener.restored(snapshot);
    }
}
