package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * The chunks of one encoded snapshot, in order. Bounded by the size that was accepted with the first chunk. Not
 * thread-safe.
 */
final class SnapshotDownload {
    /** Requests for the same chunk before the download is abandoned. */
    private static final int MAX_RETRIES = 8;

    private final ConfigurationVersion version;
    private final int totalBytes;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private long waitingSinceMicros;
    private int retries;

    SnapshotDownload(SnapshotChunk first, long nowMicros) {
        this.version = first.version();
        this.totalBytes = first.totalBytes();
        this.waitingSinceMicros = nowMicros;
    }

    ConfigurationVersion version() {
        return version;
    }

    int offset() {
        return received.size();
    }

    /** Takes the chunk if it is the next one; whether it was. */
    boolean accept(SnapshotChunk chunk, long nowMicros) {
        boolean isNext = chunk.version().equals(version)
                && chunk.totalBytes() == totalBytes
                && chunk.offset() == received.size()
                && chunk.bytes().length > 0
                && chunk.bytes().length <= totalBytes - received.size();
        if (isNext) {
            received.writeBytes(chunk.bytes());
            waitingSinceMicros = nowMicros;
            retries = 0;
        }
        return isNext;
    }

    boolean isComplete() {
        return received.size() == totalBytes;
    }

    byte[] bytes() {
        return received.toByteArray();
    }

    /** Whether the next chunk is to be requested again now; this counts as a retry. */
    boolean retryIsDue(long nowMicros, long retryTimeoutMicros) {
        if (nowMicros - waitingSinceMicros < retryTimeoutMicros) {
            return false;
        }
        waitingSinceMicros = nowMicros;
        retries++;
        return true;
    }

    /** Whether the same chunk was requested too often. */
    boolean isExhausted() {
        return retries > MAX_RETRIES;
    }
}
