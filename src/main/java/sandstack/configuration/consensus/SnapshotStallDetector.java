package sandstack.configuration.consensus;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.time.Duration;

/**
 * Detects that a leader offers a snapshot repeatedly and no chunk of it arrives. MicroRaft 0.7 does not request chunks
 * again from a member that once did not answer; after a partition of the regions that can be all of them, and the
 * machine stays behind. Called on the executor's thread.
 */
final class SnapshotStallDetector {
    private final long timeoutMillis;
    private long offeredSinceMillis;
    private boolean isOffered;

    /** A stall is an offer that is repeated without a chunk for this long. */
    SnapshotStallDetector(Duration timeout) {
        timeoutMillis = timeout.toMillis();
    }

    /** Whether the node has to be restarted, as of this message; the detector then begins anew. */
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
