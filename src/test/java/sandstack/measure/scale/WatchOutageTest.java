package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Calls of many relays to the discovery service during an outage and in the first second after it. */
class WatchOutageTest {
    private static final long POLL_INTERVAL_MICROS = 10_000_000;

    @Test
    void withoutOutageEachRelayCallsOnceWithinFirstBackoff() {
        WatchOutage.Calls calls = new WatchOutage(POLL_INTERVAL_MICROS, 1, 3).simulate(1_000);

        assertThat(calls.perSecondDuringOutage()).isZero();
        assertThat(calls.inFirstSecond()).isEqualTo(1_000);
    }

    @Test
    void backoffSpreadsCallsOfLongOutage() {
        WatchOutage.Calls calls = new WatchOutage(POLL_INTERVAL_MICROS, 60_000_000, 3).simulate(1_000);

        // the backoff is uniform up to 1.5 s, so each relay calls every 0.75 s on average
        assertThat(calls.perSecondDuringOutage()).isBetween(1_200.0, 1_600.0);
        assertThat(calls.inFirstSecond()).isBetween(800L, 999L);
    }
}
