package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ActiveConfiguration.ActivationResult;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * Fetches one snapshot at a time, chunk by chunk, and activates it when it is complete. A snapshot that is too large or
 * has an unsupported format version is rejected at its first chunk, before memory is allocated for it. Not thread-safe;
 * times are in microseconds of the follower's clock.
 */
final class SnapshotFetcher {
    /** The state of the download after a chunk. */
    sealed interface Progress {
        /** The chunk is not the next one of the snapshot that is being fetched, or its version is no longer needed. */
        record Ignored() implements Progress {}

        /** The chunk was accepted; the caller requests the chunk at this offset, in bytes, next. */
        record NextChunk(ConfigurationVersion version, int offset) implements Progress {}

        /** The snapshot is complete or rejected; no download is in progress. */
        record Finished(ActivationResult result) implements Progress {}
    }

    private final ConfigurationCodec codec;
    private final ActiveConfiguration activeConfiguration;
    /** The download in progress; null if there is none. */
    private SnapshotDownload download;

    SnapshotFetcher(ConfigurationCodec codec, ActiveConfiguration activeConfiguration) {
        this.codec = codec;
        this.activeConfiguration = activeConfiguration;
    }

    boolean isFetching() {
        return download != null;
    }

    /** Drops the download in progress, because the session with the sending machine ended. */
    void abort() {
        download = null;
    }

    /** Handles a chunk whose version does not diverge from the active one; the caller has checked that. */
    Progress accept(SnapshotChunk chunk, long nowMicros) {
        if (chunk.version().index() <= activeConfiguration.highestHandledIndex()) {
            return new Progress.Ignored();
        }
        if (beginsLaterSnapshot(chunk)) {
            Optional<ChangeRejection> rejection = checkFirstChunk(chunk);
            if (rejection.isPresent()) {
                download = null;
                return rejected(chunk.version(), rejection.get());
            }
            download = new SnapshotDownload(chunk, nowMicros);
        }
        if (download == null || !download.accept(chunk, nowMicros)) {
            return new Progress.Ignored();
        }
        return download.isComplete() ? finish(nowMicros) : nextChunk();
    }

    /**
     * The chunk to request again after a timeout without progress. Abandons the download after too many retries.
     *
     * @return empty if no request is due or the download was abandoned
     */
    Optional<Progress.NextChunk> retry(long nowMicros, long timeoutMicros) {
        if (download == null || !download.tryRetry(nowMicros, timeoutMicros)) {
            return Optional.empty();
        }
        if (download.isExhausted()) {
            download = null;
            return Optional.empty();
        }
        return Optional.of(nextChunk());
    }

    private boolean beginsLaterSnapshot(SnapshotChunk chunk) {
        return chunk.offset() == 0 && (download == null || chunk.version().isAfter(download.version()));
    }

    private Optional<ChangeRejection> checkFirstChunk(SnapshotChunk chunk) {
        return activeConfiguration
                .validateFormat(chunk.formatVersion())
                .or(() -> activeConfiguration.validateEncodedSize(chunk.totalBytes(), codec.maxSnapshotBytes()));
    }

    private Progress.NextChunk nextChunk() {
        return new Progress.NextChunk(download.version(), download.offset());
    }

    private Progress.Finished finish(long nowMicros) {
        ConfigurationVersion version = download.version();
        byte[] bytes = download.bytes();
        download = null;
        try {
            ConfigurationSnapshot snapshot = codec.decodeSnapshot(bytes);
            if (!snapshot.version().equals(version)) {
                String detail = "the chunks of snapshot " + version + " contain snapshot " + snapshot.version();
                return rejected(version, new ChangeRejection(ChangeRejection.Reason.MALFORMED, detail));
            }
            return new Progress.Finished(activeConfiguration.replace(snapshot, nowMicros));
        } catch (MalformedConfigurationException e) {
            return rejected(version, e.toRejection());
        }
    }

    private Progress.Finished rejected(ConfigurationVersion version, ChangeRejection rejection) {
        return new Progress.Finished(activeConfiguration.reject(version, rejection));
    }
}
