package sandstack.configuration.consensus;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.time.Duration;

/**
 * Detects that a leader repeatedly offers a snapshot of which no chunk arrives. MicroRaft 0.7 does not request chunks
 * again from a member that has once failed to respond. After a partition of the regions this can apply to all members,
 * so that the machine lags permanently. Called on the executor's thread.
 */
final class SnapshotStallDetector {
    private final long timeoutMillis;
    private long offeredSinceMillis;
    private boolean isOffered;

    /** Creates a detector that reports a stall when offers repeat without a chunk for the timeout. */
    SnapshotStallDetector(Duration timeout) {
        timeoutMillis = timeout.toMillis();
    }

    /** Records a message; returns true if the node must be restarted, and then resets the detector. */
    boolean detectStall(RaftMessage message, long nowMillis) {
        if (message instanceof AppendEntriesRequest || isChunk(message)) {
            isOffered = false;
        } else if (message instanceof InstallSnapshotRequest && !isOffered) {
            isOffered = true;
            offeredSinceMillis = nowMillis;
        } else if (message instanceof InstallSnapshotRequest && nowMillis - offeredSinceMillis >= timeoutMillis) {
            isOffered = false;
            return true;
        }
        return false;
    }

    private static boolean isChunk(RaftMessage message) {
        return message instanceof InstallSnapshotRequest request && request.getSnapshotChunk() != null;
    }
}
