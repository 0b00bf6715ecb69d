package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Calls of many relays while discovery is down and right after. */
class WatchOutageTest {
    private static final long ASK_WITHIN = 10_000_000;

    @Test
    void withoutAnOutageEachRelayCallsOnceWithinItsFirstPause() {
        WatchOutage.Calls calls = new WatchOutage(ASK_WITHIN, 1, 3).simulate(1_000);

        assertThat(calls.perSecondDuringOutage()).isZero();
        assertThat(calls.inFirstSecond()).isEqualTo(1_000);
    }

    @Test
    void pausesSpreadTheCallsOfALongOutage() {
        WatchOutage.Calls calls = new WatchOutage(ASK_WITHIN, 60_000_000, 3).simulate(1_000);

        // drawn over 1.5 s at the most: three quarters of a second in the mean
        assertThat(calls.perSecondDuringOutage()).isBetween(1_200.0, 1_600.0);
        assertThat(calls.inFirstSecond()).isBetween(800L, 999L);
    }
}
