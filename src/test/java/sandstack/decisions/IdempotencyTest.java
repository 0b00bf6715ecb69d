package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;

/** Retries and rejections of requests that may have been executed. */
class IdempotencyTest {
    @Test
    void nonIdempotentRequestThatMayHaveBeenExecutedIsNotRetried() {
        for (AttemptOutcome outcome :
                List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings()
                            .idempotency(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                            .build(),
                    1);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            assertEquals(List.of(new Fail("r")), harness.failAttempt("r", outcome), outcome.toString());
        }
        for (AttemptOutcome outcome : List.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings()
                            .idempotency(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                            .build(),
                    1);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            harness.advance(BalancerHarness.requestTimerMicros(harness.failAttempt("r", outcome)));
            assertEquals(2, harness.attemptCounts.get("r"), outcome.toString());
        }
    }

    @Test
    void requestWithKeyIsRetriedOnlyInItsCellAndWindow() {
        for (int seed = 0; seed < 40; seed++) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings()
                            .idempotency(Idempotency.WITH_KEY, DeduplicationScope.CELL)
                            .build(),
                    seed);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            String first = harness.latestAttempts.get("r").serverId();
            List<BalancerAction> actions = harness.failAttempt("r", AttemptOutcome.ERROR);
            assertFalse(actions.stream().anyMatch(a -> a instanceof Reject));
            harness.advance(BalancerHarness.requestTimerMicros(actions));
            if (harness.attemptCounts.get("r") == 2) {
                assertEquals(
                        harness.cellOf(first),
                        harness.cellOf(harness.latestAttempts.get("r").serverId()));
            }
            harness.nowMicros += BalancerHarness.DEDUPLICATION_WINDOW_MICROS + 1;
            if (harness.attemptCounts.get("r") == 2) {
                assertEquals(List.of(new Fail("r")), harness.failAttempt("r", AttemptOutcome.REJECTED));
            }
        }
    }

    @Test
    void requestWithKeyKnownToAllServersMayBeRejected() {
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.settings()
                        .idempotency(Idempotency.WITH_KEY, DeduplicationScope.ALL)
                        .maxAttempts(1)
                        .build(),
                1);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        assertTrue(harness.failAttempt("r", AttemptOutcome.ERROR).get(0) instanceof Reject);
    }
}
