package sandstack.configuration;

/**
 * The timeouts and intervals of a relay that follows a control machine. Immutable.
 *
 * @param silenceTimeoutMicros time without a message after which the relay ends the session
 * @param attemptTimeoutMicros time limit for the reply to a hello
 * @param backoffSlotMicros length of a backoff slot; the interval after the n-th failure in a row is 2^n slots
 * @param maxBackoffDoublings maximum of that n
 * @param unsatisfactoryGraceMicros time for which a machine may lack a quorum or be behind the active version before
 *     others are tried
 * @param stableSessionMicros time after which an open session with a satisfactory machine resets the backoff
 * @param failbackSpanMicros length of the interval in which the return to the preferred machine is scheduled at random;
 *     the interval begins after a quarter of this time
 * @param repairIntervalMicros minimum time between two requests for missing changes, between two for a snapshot, and
 *     between two for the same chunk
 * @param rejectionBackoffMicros time after a rejection before a snapshot is fetched; doubles with each further
 *     rejection
 */
public record FollowerSettings(
        long silenceTimeoutMicros,
        long attemptTimeoutMicros,
        long backoffSlotMicros,
        int maxBackoffDoublings,
        long unsatisfactoryGraceMicros,
        long stableSessionMicros,
        long failbackSpanMicros,
        long repairIntervalMicros,
        long rejectionBackoffMicros) {
    private static final long SECOND_MICROS = 1_000_000;

    /** The default settings; the silence timeout is three heartbeat intervals of {@link PublisherSettings#DEFAULT}. */
    public static final FollowerSettings DEFAULT = new FollowerSettings(
            6 * SECOND_MICROS, // silenceTimeoutMicros
            SECOND_MICROS, // attemptTimeoutMicros
            SECOND_MICROS / 4, // backoffSlotMicros
            4, // maxBackoffDoublings
            3 * SECOND_MICROS, // unsatisfactoryGraceMicros
            10 * SECOND_MICROS, // stableSessionMicros
            600 * SECOND_MICROS, // failbackSpanMicros
            SECOND_MICROS, // repairIntervalMicros
            2 * SECOND_MICROS); // rejectionBackoffMicros
}
