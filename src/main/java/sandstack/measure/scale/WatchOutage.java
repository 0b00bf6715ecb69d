package sandstack.measure.scale;

import java.util.SplittableRandom;
import sandstack.staleness.EndpointListStaleness;

/**
 * Simulates the calls to the discovery service during and after an outage: all relays lose their watches at the same
 * time and retry with the backoff of {@link EndpointListStaleness}. Deterministic for a seed.
 */
final class WatchOutage {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final EndpointListStaleness staleness;
    private final long outageMicros;
    private final SplittableRandom random;
    private long callsDuringOutage;
    private long callsInFirstSecond;

    /**
     * Creates the simulation of one outage.
     *
     * @param pollIntervalMicros poll interval of the relays
     * @param outageMicros duration of the outage
     */
    WatchOutage(long pollIntervalMicros, long outageMicros, long seed) {
        this.staleness = new EndpointListStaleness(false, pollIntervalMicros);
        this.outageMicros = outageMicros;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Rate and number of calls to the discovery service.
     *
     * @param perSecondDuringOutage mean rate during the outage, when all calls fail
     * @param inFirstSecond calls in the first second after it, each of which opens a watch
     */
    record Calls(double perSecondDuringOutage, long inFirstSecond) {}

    /** Simulates the outage with {@code relays} relays. */
    Calls simulate(int relays) {
        callsDuringOutage = 0;
        callsInFirstSecond = 0;
        for (int i = 0; i < relays; i++) {
            simulateRelay();
        }
        return new Calls(callsDuringOutage / (outageMicros / (double) MICROS_PER_SECOND), callsInFirstSecond);
    }

    private void simulateRelay() {
        int failures = 1;
        long atMicros = staleness.backoffMicros(failures, random.nextDouble());
        while (atMicros < outageMicros) {
            callsDuringOutage++;
            failures++;
            atMicros += staleness.backoffMicros(failures, random.nextDouble());
        }
        callsInFirstSecond += atMicros < outageMicros + MICROS_PER_SECOND ? 1 : 0;
    }
}
