package sandstack.configuration;

/**
 * Takes what the control machines have agreed on, in order and without gaps. The consensus calls it on each control
 * machine, never for a change that is not committed.
 */
public interface CommittedChangeListener {
    /** The next change; its version follows that of the last call. */
    void committed(CommittedChange change);

    /** A whole state in place of the changes up to it, at start or where this machine was far behind. */
    void restored(ConfigurationSnapshot snapshot);
}
