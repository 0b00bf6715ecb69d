package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/** Parts of one encoded snapshot, in order. Bounded by the size that was accepted with the first part. One thread. */
final class SnapshotDownload {
    /** Times that the next part is asked for again before the download is given up. */
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

    /** Whether the part is the next one and was taken. */
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

    /** Whether the next part is to be asked for again now. */
    boolean retryIsDue(long nowMicros, long retryTimeoutMicros) {
        if (nowMicros - waitingSinceMicros < retryTimeoutMicros) {
            return false;
        }
        waitingSinceMicros = nowMicros;
        retries++;
        return true;
    }

    boolean isExhausted() {
        return retries > MAX_RETRIES;
    }
}
