package sandstack.measure.scale;

import java.util.SplittableRandom;
import sandstack.staleness.EndpointListStaleness;

/**
 * Reckons the calls that reach a discovery which was away for a while: each relay has lost its watch at once and asks
 * again by the pauses of {@link EndpointListStaleness}. No process, clock or socket; the same seed gives the same figures.
 */
final class WatchOutage {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final EndpointListStaleness staleness;
    private final long downMicros;
    private final SplittableRandom random;
    private long callsDuringOutage;
    private long callsInFirstSecond;

    /**
     * An outage of discovery.
     *
     * @param pollIntervalMicros the pace that relays are told, in microseconds
     */
    WatchOutage(long pollIntervalMicros, long downMicros, long seed) {
        this.staleness = new EndpointListStaleness(false, pollIntervalMicros);
        this.downMicros = downMicros;
        this.random = new SplittableRandom(seed);
    }

    /**
     * What was counted.
     *
     * @param perSecondDuringOutage calls a second in the mean of the outage, each of which fails
     * @param inFirstSecond calls in the first second after it; each makes a watch
     */
    record Calls(double perSecondDuringOutage, long inFirstSecond) {}

    /** Plays one outage with so many relays. */
    Calls simulate(int relays) {
        callsDuringOutage = 0;
        callsInFirstSecond = 0;
        for (int i = 0; i < relays; i++) {
            simulateRelay();
        }
        return new Calls(callsDuringOutage / (downMicros / (double) MICROS_PER_SECOND), callsInFirstSecond);
    }

    private void simulateRelay() {
        int failures = 1;
        long atMicros = staleness.backoffMicros(failures, random.nextDouble());
        while (atMicros < downMicros) {
            callsDuringOutage++;
            failures++;
            atMicros += staleness.backoffMicros(failures, random.nextDouble());
        }
        callsInFirstSecond += atMicros < downMicros + MICROS_PER_SECOND ? 1 : 0;
    }
}
