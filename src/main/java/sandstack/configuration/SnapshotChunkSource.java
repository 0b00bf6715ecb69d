package sandstack.configuration;

import java.util.Arrays;
import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * Cuts one encoded snapshot into the chunks that relays request, within a rate of bytes for all relays together. The
 * encoded snapshot is kept while the history continues from it, so that a slow relay finds the next chunk. One thread.
 */
final class SnapshotChunkSource {
    /** A snapshot is encoded no more often than this. */
    private static final long MIN_ENCODE_INTERVAL_MICROS = 500_000;

    /** A snapshot as it is sent. */
    private record EncodedSnapshot(ConfigurationVersion version, int formatVersion, byte[] bytes) {}

    private final PublisherSettings settings;
    private final ConfigurationCodec codec;
    private final RecentChanges recentChanges;
    private final TokenBucket byteRate;
    /** Null where none is encoded. */
    private EncodedSnapshot encoded;

    private long encodedAtMicros;

    /**
     * Begins without an encoded snapshot.
     *
     * @param recentChanges the history that relays go on with after a snapshot
     */
    SnapshotChunkSource(
            PublisherSettings settings, ConfigurationCodec codec, RecentChanges recentChanges, long nowMicros) {
        this.settings = settings;
        this.codec = codec;
        this.recentChanges = recentChanges;
        this.byteRate =
                new TokenBucket(settings.snapshotBytesPerSecond(), settings.snapshotBytesPerSecond(), nowMicros);
    }

    /** Forgets the encoded snapshot, as the history does not continue from it. */
    void invalidate() {
        encoded = null;
    }

    /**
     * The first chunk of a snapshot with this index or a later one.
     *
     * @return empty where there is no such snapshot yet, or the rate is used up; the relay requests it again
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

    /** The requested chunk, or the first one of a later snapshot where the requested one is no longer kept. */
    Optional<SnapshotChunk> chunk(long sessionId, ConfigurationSnapshot current, ChunkRequest request, long nowMicros) {
        if (encoded == null || !encoded.version().equals(request.version())) {
            return firstChunk(sessionId, current, request.version().index(), nowMicros);
        }
        if (request.offset() < 0 || request.offset() >= encoded.bytes().length) {
            return Optional.empty();
        }
        return cutChunk(sessionId, request.offset(), nowMicros);
    }

    /** Whether the encoded snapshot is kept: it is current, recent and late enough, or was encoded just now. */
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
