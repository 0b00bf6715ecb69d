package sandstack.configuration;

import java.util.Arrays;
import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * Serves the chunks of a snapshot that relays request, within one byte rate for all relays together. The encoded
 * snapshot is reused while it lags by few changes and the recent changes continue from it, so that a slow relay can
 * fetch the following chunks of the same snapshot. Not thread-safe; times are in microseconds of the publisher's clock.
 */
final class SnapshotChunkSource {
    /** The minimum interval between two encodings of a snapshot. */
    private static final long MIN_ENCODE_INTERVAL_MICROS = 500_000;

    /** A snapshot in the encoded form whose chunks are sent. */
    private record EncodedSnapshot(ConfigurationVersion version, int formatVersion, byte[] bytes) {}

    private final PublisherSettings settings;
    private final ConfigurationCodec codec;
    private final RecentChanges recentChanges;
    private final TokenBucket byteRate;
    /** The cached encoded snapshot; null if there is none. */
    private EncodedSnapshot encoded;

    private long encodedAtMicros;

    /**
     * Creates a source without a cached snapshot.
     *
     * @param recentChanges the changes that relays receive after a snapshot
     */
    SnapshotChunkSource(
            PublisherSettings settings, ConfigurationCodec codec, RecentChanges recentChanges, long nowMicros) {
        this.settings = settings;
        this.codec = codec;
        this.recentChanges = recentChanges;
        this.byteRate =
                new TokenBucket(settings.snapshotBytesPerSecond(), settings.snapshotBytesPerSecond(), nowMicros);
    }

    /** Drops the cached snapshot, because the recent changes no longer continue from it. */
    void invalidate() {
        encoded = null;
    }

    /**
     * The first chunk of a snapshot with index {@code minIndex} or a later one.
     *
     * @return empty if there is no such snapshot yet or the byte rate is exhausted; the relay requests it again
     */
    Optional<SnapshotChunk> firstChunk(long sessionId, ConfigurationSnapshot current, long minIndex, long nowMicros) {
        if (current.version().index() < minIndex) {
            return Optional.empty();
        }
        if (!isUsable(current, minIndex, nowMicros)) {
            encoded = new EncodedSnapshot(current.version(), current.formatVersion(), codec.encode(current));
            encodedAtMicros = nowMicros;
        }
        return encoded.version().index() >= minIndex ? cutChunk(sessionId, 0, nowMicros) : Optional.empty();
    }

    /**
     * The requested chunk; if the requested snapshot is no longer cached, the first chunk of a snapshot with the same
     * or a higher index.
     *
     * @return empty if the offset is outside the snapshot, or for the same reasons as {@link #firstChunk}
     */
    Optional<SnapshotChunk> chunk(long sessionId, ConfigurationSnapshot current, ChunkRequest request, long nowMicros) {
        if (encoded == null || !encoded.version().equals(request.version())) {
            return firstChunk(sessionId, current, request.version().index(), nowMicros);
        }
        if (request.offset() < 0 || request.offset() >= encoded.bytes().length) {
            return Optional.empty();
        }
        return cutChunk(sessionId, request.offset(), nowMicros);
    }

    /**
     * Whether the cached snapshot is used again. It is if it is current, if it was encoded less than
     * {@link #MIN_ENCODE_INTERVAL_MICROS} ago, or if it is not earlier than {@code minIndex}, lags by fewer changes
     * than the maximum of the settings, and all changes after it are kept.
     */
    private boolean isUsable(ConfigurationSnapshot current, long minIndex, long nowMicros) {
        if (encoded == null) {
            return false;
        }
        ConfigurationVersion version = encoded.version();
        long lagChanges = current.version().index() - version.index();
        boolean isRecent = lagChanges < settings.maxSnapshotLagChanges() && recentChanges.continuesFrom(version);
        return version.equals(current.version())
                || (isRecent && version.index() >= minIndex)
                || nowMicros - encodedAtMicros < MIN_ENCODE_INTERVAL_MICROS;
    }

    private Optional<SnapshotChunk> cutChunk(long sessionId, int offset, long nowMicros) {
        byte[] bytes = encoded.bytes();
        int length = Math.min(settings.maxChunkBytes(), bytes.length - offset);
        if (!byteRate.tryTake(length, nowMicros)) {
            return Optional.empty();
        }
        byte[] chunk = Arrays.copyOfRange(bytes, offset, offset + length);
        return Optional.of(
                new SnapshotChunk(sessionId, encoded.version(), encoded.formatVersion(), bytes.length, offset, chunk));
    }
}
