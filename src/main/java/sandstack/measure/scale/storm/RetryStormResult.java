package sandstack.measure.scale.storm;

/**
 * Result of a simulated retry storm. Rates are per second.
 *
 * @param attemptsPerSecond mean attempts at a relay in each second
 * @param peakAttempts maximum of {@code attemptsPerSecond}
 * @param peakAttemptsInStep most attempts in one step at any sampled relay, as a rate
 * @param overloadedSeconds number of seconds in which {@code attemptsPerSecond} exceeds the setups per second of a
 *     relay
 * @param lastOverloadedSecond the last of these seconds, counted from the loss
 * @param secondsUntil99Percent time until 99% of the clients are accepted; -1 if fewer are
 * @param secondsUntilAll time until all clients are set up or in a relay's queue; -1 if not all are
 * @param attemptsPerClient mean attempts of a client
 * @param rejectionsPerClient mean rejections of a client
 * @param peakAtFeedServer rate of connections set up at a feed server in the busiest second, as the mean of all feed
 *     servers
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
