package sandstack.configuration;

/**
 * How a relay follows the configuration. Durations are in microseconds.
 *
 * @param silence after which a control machine that says nothing is given up
 * @param attemptTimeout for the answer to a hello
 * @param slot of the back-off between attempts
 * @param mostDoublings of the slot
 * @param grace for which a machine may lack a quorum before others are asked
 * @param stable after which a session clears the back-off
 * @param returnSpan over which the return to the preferred machine is drawn
 * @param repairInterval between two requests for what is missing
 * @param refusalWait before a state is fetched again after one was refused; doubles with each refusal
 */
public record FollowerSettings(
        long silence,
        long attemptTimeout,
        long slot,
        int mostDoublings,
        long grace,
        long stable,
        long returnSpan,
        long repairInterval,
        long refusalWait) {
    private static final long SECOND = 1_000_000;

    /** What holds where staff state nothing else. */
    public static final FollowerSettings DEFAULT = new FollowerSettings(
            6 * SECOND, SECOND, SECOND / 4, 4, 3 * SECOND, 10 * SECOND, 600 * SECOND, SECOND, 2 * SECOND);
}
