package sandstack.measure.scale.storm;

/**
 * How a return went. Rates are a second and relay, unless they say otherwise.
 *
 * @param attemptsBySecond of the mean relay
 * @param peakAttempts the most in one second, of the mean relay
 * @param peakAttemptsInStep the most in one step of 10 ms at any relay of the sample, as a rate
 * @param secondsOver in so many seconds there were more attempts than a relay accepts
 * @param lastSecondOver the last of them, counted from the loss
 * @param secondsNearlyAll until 99 of 100 clients were accepted; -1 where they were not
 * @param secondsAll until all were accepted, which includes those that wait in a relay's queue; -1 where they were not
 * @param attemptsEach of a client
 * @param refusalsEach of a client
 * @param peakAtFeedServer the most attempts in a second at one feed server
 */
public record StormResult(
        double[] attemptsBySecond,
        double peakAttempts,
        double peakAttemptsInStep,
        int secondsOver,
        int lastSecondOver,
        int secondsNearlyAll,
        double secondsAll,
        double attemptsEach,
        double refusalsEach,
        double peakAtFeedServer) {}
