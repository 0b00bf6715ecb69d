package sandstack.measure.scale;

import java.util.SplittableRandom;
import sandstack.staleness.EndpointListStaleness;

/**
 * Reckons the calls that reach a discovery which was away for a while: each relay has lost its watch at once and asks
 * again by the pauses of {@link EndpointListStaleness}. No process, clock or socket; the same seed gives the same figures.
 */
final class WatchOutage {
    private static final long SECOND = 1_000_000;

    private final EndpointListStaleness clock;
    private final long downMicros;
    private final SplittableRandom random;
    private long callsWhileDown;
    private long callsInFirstSecond;

    /**
     * An outage of discovery.
     *
     * @param askWithin the pace that relays are told, in microseconds
     */
    WatchOutage(long askWithin, long downMicros, long seed) {
        this.clock = new EndpointListStaleness(false, askWithin);
        this.downMicros = downMicros;
        this.random = new SplittableRandom(seed);
    }

    /**
     * What was counted.
     *
     * @param perSecondWhileDown calls a second in the mean of the outage, each of which fails
     * @param inFirstSecond calls in the first second after it; each makes a watch
     */
    record Calls(double perSecondWhileDown, long inFirstSecond) {}

    /** Plays one outage with so many relays. */
    Calls play(int relays) {
        callsWhileDown = 0;
        callsInFirstSecond = 0;
        for (int i = 0; i < relays; i++) {
            playOne();
        }
        return new Calls(callsWhileDown / (downMicros / (double) SECOND), callsInFirstSecond);
    }

    private void playOne() {
        int failures = 1;
        long at = clock.backoffMicros(failures, random.nextDouble());
        while (at < downMicros) {
            callsWhileDown++;
            failures++;
            at += clock.backoffMicros(failures, random.nextDouble());
        }
        callsInFirstSecond += at < downMicros + SECOND ? 1 : 0;
    }
}
