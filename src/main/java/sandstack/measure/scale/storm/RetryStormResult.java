package sandstack.measure.scale.storm;

/**
 * Result of a simulated retry storm. Rates are per second.
 *
 * @param attemptsPerSecond mean attempts at a relay in each second
 * @param peakAttempts the largest of these
 * @param peakAttemptsInStep most attempts in one step at any sampled relay, as a rate
 * @param overloadedSeconds number of seconds with more attempts than a relay sets up
 * @param lastOverloadedSecond the last of these, counted from the loss
 * @param secondsUntil99Percent until 99% of the clients were accepted; -1 if they were not
 * @param secondsUntilAll until all clients were accepted, including those in a relay's queue; -1 if they were not
 * @param attemptsPerClient mean attempts of a client
 * @param rejectionsPerClient mean rejections of a client
 * @param peakAtFeedServer most attempts at one feed server in a second
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
