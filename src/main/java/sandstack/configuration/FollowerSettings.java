package sandstack.configuration;

/**
 * How a relay follows the configuration. Durations are in microseconds.
 *
 * @param silenceTimeoutMicros after which a control machine that says nothing is given up
 * @param attemptTimeoutMicros for the answer to a hello
 * @param backoffSlotMicros of the back-off between attempts
 * @param maxBackoffDoublings of the slot
 * @param unsatisfiedGraceMicros for which a machine may lack a quorum before others are asked
 * @param stableSessionMicros after which a session clears the back-off
 * @param failbackSpanMicros over which the return to the preferred machine is drawn
 * @param repairIntervalMicros between two requests for what is missing
 * @param rejectionBackoffMicros before a state is fetched again after one was refused; doubles with each refusal
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

    /** What holds where staff state nothing else. */
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
