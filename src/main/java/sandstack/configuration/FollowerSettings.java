package sandstack.configuration;

/**
 * How a relay follows the configuration.
 *
 * @param silenceTimeoutMicros after which a silent control machine is abandoned
 * @param attemptTimeoutMicros for the reply to a hello
 * @param backoffSlotMicros slot of the backoff between attempts
 * @param maxBackoffDoublings of the slot
 * @param unsatisfiedGraceMicros for which a machine may lack a quorum or be behind before others are tried
 * @param stableSessionMicros after which a session resets the backoff
 * @param failbackSpanMicros over which the return to the preferred machine is drawn
 * @param repairIntervalMicros between two requests for what is missing
 * @param rejectionBackoffMicros before a snapshot is fetched after a rejection; doubles with each further one
 */
public record FollowerSettings(
        long silenceTimeoutMicros,
        long attemptTimeoutMicros,
        long backoffSlotMicros,
        int maxBackoffDoublings,
        long unsatisfiedGraceMicros,
        long stableSessionMicros,
        long failbackSpanMicros,
        long repairIntervalMicros,
        long rejectionBackoffMicros) {
    private static final long SECOND_MICROS = 1_000_000;

    /** The default settings. */
    public static final FollowerSettings DEFAULT = new FollowerSettings(
            6 * SECOND_MICROS, // silenceTimeoutMicros
            SECOND_MICROS, // attemptTimeoutMicros
            SECOND_MICROS / 4, // backoffSlotMicros
            4, // maxBackoffDoublings
            3 * SECOND_MICROS, // unsatisfiedGraceMicros
            10 * SECOND_MICROS, // stableSessionMicros
            600 * SECOND_MICROS, // failbackSpanMicros
            SECOND_MICROS, // repairIntervalMicros
            2 * SECOND_MICROS); // rejectionBackoffMicros
}
