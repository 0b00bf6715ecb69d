package sandstack.configuration;

/**
 * The limits and intervals of a control machine that serves relays. Immutable.
 *
 * @param maxSessions maximum number of relays with a session
 * @param heartbeatIntervalMicros time between two heartbeats of a session
 * @param silenceTimeoutMicros time without a message after which the session of a relay is closed
 * @param windowChanges maximum number of changes in flight to one relay, that is sent and not yet reported as active
 * @param maxBatchBytes maximum encoded size of the changes in one message; a single change may be larger
 * @param maxHistoryChanges maximum number of recent changes that are kept for relays that are behind
 * @param maxHistoryBytes maximum encoded size of these changes
 * @param maxChunkBytes maximum number of snapshot bytes in one message
 * @param maxSnapshotLagChanges number of changes after which the cached encoded snapshot is replaced by a current one
 * @param snapshotBytesPerSecond rate of snapshot bytes to all relays together
 * @param hellosPerSecond rate of admitted hellos of all relays together
 * @param messagesPerSecond average rate of messages of one relay
 * @param messageBurst number of messages that one relay may send at once
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

    /** The default settings; the silence timeout is four heartbeat intervals, and relays reply to each heartbeat. */
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
