package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * Assembles one encoded snapshot from its chunks, in order. Memory use is bounded by the total size that the first
 * chunk states; the caller checks that size before it creates a download. Not thread-safe.
 */
final class SnapshotDownload {
    /** The maximum number of times that the same chunk is requested again; the next timeout ends the download. */
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

    /** Appends the chunk if it is the next one of this snapshot; returns whether it is. */
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

    /** Whether the timeout for the next chunk has expired; if so, counts a retry and restarts the timeout. */
    boolean tryRetry(long nowMicros, long retryTimeoutMicros) {
        if (nowMicros - waitingSinceMicros < retryTimeoutMicros) {
            return false;
        }
        waitingSinceMicros = nowMicros;
        retries++;
        return true;
    }

    /** Whether the maximum number of retries for the same chunk is exceeded. */
    boolean isExhausted() {
        return retries > MAX_RETRIES;
    }
}
