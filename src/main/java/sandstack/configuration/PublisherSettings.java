package sandstack.configuration;

/**
 * How a control machine serves relays.
 *
 * @param maxSessions relays that are served at once
 * @param heartbeatIntervalMicros between two heartbeats of a session
 * @param silenceTimeoutMicros after which the session of a silent relay is closed
 * @param windowChanges changes that may be in flight to one relay
 * @param maxBatchBytes of changes in one message with more than one
 * @param maxHistoryChanges changes in the history for relays that are behind
 * @param maxHistoryBytes encoded bytes in that history
 * @param maxChunkBytes bytes of a snapshot in one message
 * @param maxSnapshotLagChanges changes after which the cached encoded snapshot is renewed
 * @param snapshotBytesPerSecond of snapshots to all relays together
 * @param hellosPerSecond of all relays together that are admitted
 * @param messagesPerSecond that one relay may send on average
 * @param messageBurst that one relay may send at once
 */
public record PublisherSettings(
        int maxSessions,
        long heartbeatIntervalMicros,
        long silenceTimeoutMicros,
        int windowChanges,
        int maxBatchBytes,
        int maxHistoryChanges,
        long maxHistoryBytes,
        int maxChunkBytes,
        int maxSnapshotLagChanges,
        long snapshotBytesPerSecond,
        int hellosPerSecond,
        int messagesPerSecond,
        int messageBurst) {
    private static final long SECOND_MICROS = 1_000_000;

    /** The default settings. */
    public static final PublisherSettings DEFAULT = new PublisherSettings(
            2_000, // maxSessions
            2 * SECOND_MICROS, // heartbeatIntervalMicros
            8 * SECOND_MICROS, // silenceTimeoutMicros
            64, // windowChanges
            64 << 10, // maxBatchBytes
            4_096, // maxHistoryChanges
            8 << 20, // maxHistoryBytes
            32 << 10, // maxChunkBytes
            256, // maxSnapshotLagChanges
            32 << 20, // snapshotBytesPerSecond
            1_000, // hellosPerSecond
            50, // messagesPerSecond
            200); // messageBurst
}
