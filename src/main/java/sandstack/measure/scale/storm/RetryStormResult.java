package sandstack.measure.scale.storm;

/**
 * Result of a simulated retry storm. Rates are per second.
 *
 * @param attemptsPerSecond mean attempts at a relay in each second
 * @param peakAttempts maximum of {@code attemptsPerSecond}
 * @param peakAttemptsInStep most attempts in one step at any sampled relay, as a rate
 * @param overloadedSeconds number of seconds in which a relay receives more attempts than it can set up
 * @param lastOverloadedSecond the last of these seconds, counted from the loss
 * @param secondsUntil99Percent time until 99% of the clients are accepted; -1 if fewer are
 * @param secondsUntilAll time until all clients are accepted, including those in a relay's queue; -1 if not all are
 * @param attemptsPerClient mean attempts of a client
 * @param rejectionsPerClient mean rejections of a client
 * @param peakAtFeedServer maximum rate at which one feed server receives the clients that relays have set up
 */
public record RetryStormResult(
        double[] attemptsPerSecond,
        double peakAttempts,
        double peakAttemptsInStep,
        int overloadedSeconds,
        int lastOverloadedSecond,
        int secondsUntil99Percent,
        double secondsUntilAll,
        double attemptsPerClient,
        double rejectionsPerClient,
        double peakAtFeedServer) {}
