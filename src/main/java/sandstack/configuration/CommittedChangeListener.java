package sandstack.configuration;

/**
 * Receives the committed changes in order and without gaps. On each control machine the consensus calls it after the
 * commit, on the thread of its state machine.
 */
public interface CommittedChangeListener {
    /** Called with the next committed change, whose version directly follows the version of the previous call. */
    void committed(CommittedChange change);

    /**
     * Called with a snapshot that replaces all changes up to its version: at start, or after the consensus caught up
     * from far behind by installing a snapshot.
     */
    void restored(ConfigurationSnapshot snapshot);
}
