package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ActiveConfiguration.ActivationResult;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;

/**
 * Fetches one snapshot at a time, chunk by chunk, and activates it when it is complete. A snapshot that is too large or
 * of an unknown format is rejected at its first chunk, before memory is spent on it. One thread.
 */
final class SnapshotFetcher {
    /** What became of a chunk. */
    sealed interface Progress {
        /** The chunk was not the next one of a snapshot that is wanted. */
        record Ignored() implements Progress {}

        /** The chunk was taken; this one is requested next. */
        record NextChunk(ConfigurationVersion version, int offset) implements Progress {}

        /** The snapshot is complete or rejected; nothing is fetched any more. */
        record Finished(ActivationResult result) implements Progress {}
    }

    private final ConfigurationCodec codec;
    private final ActiveConfiguration activeConfiguration;
    /** Null where nothing is fetched. */
    private SnapshotDownload download;

    SnapshotFetcher(ConfigurationCodec codec, ActiveConfiguration activeConfiguration) {
        this.codec = codec;
        this.activeConfiguration = activeConfiguration;
    }

    boolean isFetching() {
        return download != null;
    }

    /** Drops what was fetched, as the session with the machine that sent it ended. */
    void abort() {
        download = null;
    }

    /** Takes a chunk of the history that is active here. */
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

    /** The chunk to request again where none came for so long; empty where none is due, or after too many retries. */
    Optional<Progress.NextChunk> retry(long nowMicros, long timeoutMicros) {
        if (download == null || !download.retryIsDue(nowMicros, timeoutMicros)) {
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
                String detail = "a snapshot of " + version + " says " + snapshot.version();
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
