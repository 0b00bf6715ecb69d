package sandstack.configuration.consensus;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.time.Duration;

/**
 * Notices that a leader offers a snapshot again and again and no chunk of it comes. MicroRaft 0.7 asks a member that once
 * did not answer no more; where regions were apart that can be all of them, and the machine stays behind.
 */
final class SnapshotStallDetector {
    private final long timeoutMillis;
    private long offeredSinceMillis;
    private boolean isOffered;

    /** A stall is an offer without a chunk for so long. */
    SnapshotStallDetector(Duration timeout) {
        timeoutMillis = timeout.toMillis();
    }

    /** Whether the node has to be begun anew, as of this message; then nothing is offered any more. */
    boolean isStalledBy(RaftMessage message, long nowMillis) {
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
