package sandstack.configuration.consensus;

import sandstack.configuration.MalformedConfigurationException;

/** Thrown if a snapshot of the state machine cannot be installed; the configuration before it is kept. */
final class UnusableSnapshotException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    UnusableSnapshotException(long commitIndex, MalformedConfigurationException cause) {
        super("the snapshot at " + commitIndex + " is unusable: " + cause.getMessage(), cause);
    }
}
