package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/** Parts of one encoded snapshot, in order. Bounded by the size that was accepted with the first part. One thread. */
final class SnapshotDownload {
    /** Times that the next part is asked for again before the download is given up. */
    private static final int MOST_RETRIES = 8;

    private final ConfigurationVersion version;
    private final int totalBytes;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private long waitingSince;
    private int retries;

    SnapshotDownload(SnapshotChunk first, long now) {
        this.version = first.version();
        this.totalBytes = first.totalBytes();
        this.waitingSince = now;
    }

    ConfigurationVersion version() {
        return version;
    }

    int offset() {
        return received.size();
    }

    /** Whether the part is the next one and was taken. */
    boolean take(SnapshotChunk chunk, long now) {
        boolean next = chunk.version().equals(version)
                && chunk.totalBytes() == totalBytes
                && chunk.offset() == received.size()
                && chunk.bytes().length > 0
                && chunk.bytes().length <= totalBytes - received.size();
        if (next) {
            received.writeBytes(chunk.bytes());
            waitingSince = now;
            retries = 0;
        }
        return next;
    }

    boolean isComplete() {
        return received.size() == totalBytes;
    }

    byte[] bytes() {
        return received.toByteArray();
    }

    /** Whether the next part is to be asked for again now. */
    boolean retries(long now, long timeout) {
        if (now - waitingSince < timeout) {
            return false;
        }
        waitingSince = now;
        retries++;
        return true;
    }

    boolean isHopeless() {
        return retries > MOST_RETRIES;
    }
}
