package sandstack.configuration.consensus;

import sandstack.configuration.MalformedConfigurationException;

/** A snapshot of the state machine cannot be installed; the state before it stays. */
final class UnusableSnapshotException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    UnusableSnapshotException(long commitIndex, MalformedConfigurationException cause) {
        super("the snapshot at " + commitIndex + " is unusable: " + cause.getMessage(), cause);
    }
}
