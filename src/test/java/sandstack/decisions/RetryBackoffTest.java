package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;

/** Backoff intervals, retries and Retry-After. */
class RetryBackoffTest {
    @Test
    void retryIsUniformOverTheIntervalAndIntervalsNeverOverlap() {
        double smallest = 1;
        double largest = 0;
        for (int seed = 0; seed < 200; seed++) {
            BalancerHarness harness =
                    new BalancerHarness(BalancerHarness.settings().build(), seed);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            long start = harness.nowMicros;
            long first = BalancerHarness.requestTimerMicros(harness.failAttempt("r", AttemptOutcome.REJECTED));
            assertTrue(first <= 2 * BalancerHarness.SLOT_MICROS + 1);
            smallest = Math.min(smallest, first / (2.0 * BalancerHarness.SLOT_MICROS));
            largest = Math.max(largest, first / (2.0 * BalancerHarness.SLOT_MICROS));
            harness.advance(first);
            assertEquals(2, harness.attemptCounts.get("r"));
            long second = harness.nowMicros
                    + BalancerHarness.requestTimerMicros(harness.failAttempt("r", AttemptOutcome.REJECTED));
            assertTrue(
                    second >= start + 2 * BalancerHarness.SLOT_MICROS,
                    "the second retry is before the end of the first interval");
            assertTrue(second <= start + 2 * BalancerHarness.SLOT_MICROS + 4 * BalancerHarness.SLOT_MICROS + 1);
        }
        assertTrue(smallest < 0.05 && largest > 0.95, "draws span " + smallest + " to " + largest);
    }

    /** Without a Retry-After, rejected clients would return immediately. */
    @Test
    void rejectionCarriesRetryAfterEvenWhereClientsMayNotHonourIt() {
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.settings().maxAttempts(1).retryAfterNotHonored().build(), 3);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        assertEquals(
                2 * BalancerHarness.SLOT_MICROS,
                ((Reject) harness.failAttempt("r", AttemptOutcome.CONNECT_FAILED)
                                .get(0))
                        .retryAfterMicros());
    }

    @Test
    void retryNumberIsKeptByClientKeyAndResumed() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().maxAttempts(1).build(), 3);
        harness.listServers(6, 2);
        List<Long> retryAfters = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            harness.sendRequest("r" + i, "k");
            Reject rejection = (Reject)
                    harness.failAttempt("r" + i, AttemptOutcome.CONNECT_FAILED).get(0);
            retryAfters.add(rejection.retryAfterMicros());
            harness.nowMicros += rejection.retryAfterMicros() + 1;
        }
        assertEquals(
                List.of(
                        2 * BalancerHarness.SLOT_MICROS,
                        4 * BalancerHarness.SLOT_MICROS,
                        8 * BalancerHarness.SLOT_MICROS,
                        16 * BalancerHarness.SLOT_MICROS),
                retryAfters);
    }

    @Test
    void longConnectionClearsTheRetryNumber() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().maxAttempts(2).build(), 3);
        harness.listServers(6, 2);
        harness.sendRequest("a", "k");
        harness.advance(BalancerHarness.requestTimerMicros(harness.failAttempt("a", AttemptOutcome.REJECTED)));
        StartAttempt second = harness.latestAttempts.get("a");
        harness.send(new ConnectionEstablished("a", 1, second.serverId(), 10));
        harness.nowMicros += 100 * BalancerHarness.DEADLINE_MICROS;
        harness.send(new AttemptEnded("a", 1, second.serverId(), AttemptOutcome.OK, true, 10, null));
        harness.sendRequest("b", "k");
        assertTrue(
                BalancerHarness.requestTimerMicros(harness.failAttempt("b", AttemptOutcome.REJECTED))
                        <= 2 * BalancerHarness.SLOT_MICROS + 1,
                "the retry is not drawn from the first interval");
    }

    @Test
    void retryPastTheDeadlineIsRejectedWithTheRestOfTheInterval() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().maxAttempts(50).build(), 5);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        long end = harness.nowMicros;
        for (int n = 1; n < 50; n++) {
            end += BalancerHarness.SLOT_MICROS << Math.min(n, 8);
            List<BalancerAction> actions = harness.failAttempt("r", AttemptOutcome.REJECTED);
            if (actions.get(0) instanceof Reject rejection) {
                assertEquals(end - harness.nowMicros, rejection.retryAfterMicros());
                assertTrue(n > 1);
                return;
            }
            harness.advance(BalancerHarness.requestTimerMicros(actions));
        }
        throw new AssertionError("the request was never rejected");
    }
}
