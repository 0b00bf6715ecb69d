package sandstack.configuration;

/**
 * How a control machine serves relays. Durations are in microseconds.
 *
 * @param mostSessions relays that are served at once
 * @param heartbeat between two heartbeats of a session
 * @param silence after which a relay that says nothing is given up
 * @param window changes that may be under way to a relay
 * @param batchBytes of changes in one message, where there is more than one
 * @param historyChanges kept for relays that are behind
 * @param historyBytes the same in bytes
 * @param chunkBytes of a snapshot in one message
 * @param snapshotAge changes after which the kept encoded snapshot is made anew
 * @param snapshotBytesPerSecond of snapshots to all relays together
 * @param hellosPerSecond that are answered with a session
 * @param messagesPerSecond that one relay may send on average
 * @param messageBurst that one relay may send at once
 */
public record PublisherSettings(
        int mostSessions,
        long heartbeat,
        long silence,
        int window,
        int batchBytes,
        int historyChanges,
        long historyBytes,
        int chunkBytes,
        int snapshotAge,
        long snapshotBytesPerSecond,
        int hellosPerSecond,
        int messagesPerSecond,
        int messageBurst) {
    private static final long SECOND = 1_000_000;

    /** What holds where staff state nothing else. */
    public static final PublisherSettings DEFAULT = new PublisherSettings(
            2_000, 2 * SECOND, 8 * SECOND, 64, 64 << 10, 4_096, 8 << 20, 32 << 10, 256, 32 << 20, 1_000, 50, 200);
}
