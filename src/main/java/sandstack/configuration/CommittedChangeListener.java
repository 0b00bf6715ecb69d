package sandstack.configuration;

/**
 * Receives what the control machines committed, in order and without gaps. The consensus calls it on each control
 * machine, on the thread of its state machine, and never before the commit.
 */
public interface CommittedChangeListener {
    /** The next change; its version directly follows that of the last call. */
    void committed(CommittedChange change);

    /** A snapshot in place of the changes up to it, at start or where this machine was far behind. */
    void restored(ConfigurationSnapshot snapshot);
}
