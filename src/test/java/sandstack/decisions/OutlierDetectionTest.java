package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;

/** Errors and timeouts that do and do not eject servers. */
class OutlierDetectionTest {
    /** Sends a request that is answered with an error by every server; returns the number of its attempts. */
    private static int sendFailingRequest(BalancerHarness harness, String id, String group) {
        harness.send(new ConnectRequested(
                id, 0, 0, id, group, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
        for (int attempt = 0; !harness.answeredRequests.contains(id); attempt = harness.attemptCounts.get(id)) {
            if (harness.attemptCounts.getOrDefault(id, 0) > attempt) {
                harness.send(new AttemptEnded(
                        id,
                        attempt,
                        harness.latestAttempts.get(id).serverId(),
                        AttemptOutcome.ERROR,
                        false,
                        1000,
                        null));
            }
            harness.advance(BalancerHarness.LATENCY_OBJECTIVE_MICROS / 64);
        }
        return harness.attemptCounts.get(id);
    }

    @Test
    void requestsFailingOnEveryServerEjectNone() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 6);
        harness.listServers(6, 2);
        for (int i = 0; i < 6; i++) {
            assertTrue(sendFailingRequest(harness, "p" + i, "bad") > 1);
        }
        assertEquals(100, harness.countPlacedInZone(0, "r"), "servers were ejected for the errors of one group");
    }

    @Test
    void serverThatFailsWhatAnotherServesIsEjected() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 6);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        String faulty = harness.latestAttempts.get("r").serverId();
        harness.send(new AttemptEnded("r", 0, faulty, AttemptOutcome.ERROR, false, 1000, null));
        harness.advance(BalancerHarness.LATENCY_OBJECTIVE_MICROS);
        String healthy = harness.latestAttempts.get("r").serverId();
        assertTrue(!healthy.equals(faulty), "retried at the server that answered with an error");
        harness.send(new ConnectionEstablished("r", 1, healthy, 1000));
        for (int i = 0; i < 100; i++) {
            harness.sendRequest("q" + i, "q" + i);
            assertTrue(
                    !harness.latestAttempts.get("q" + i).serverId().equals(faulty),
                    "the server that failed the request is not ejected");
        }
    }

    @Test
    void consecutiveTimeoutsEjectOnlyTheFirstServers() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 6);
        harness.listServers(12, 2);
        for (int i = 0; i < 30; i++) {
            harness.sendRequest("r" + i, "r" + i);
            StartAttempt attempt = harness.latestAttempts.get("r" + i);
            if (harness.attemptCounts.getOrDefault("r" + i, 0) == 1) {
                harness.send(
                        new AttemptEnded("r" + i, 0, attempt.serverId(), AttemptOutcome.TIMEOUT, false, 800_000, null));
            }
        }
        harness.sendRequest("last", "last");
        assertEquals(
                0,
                harness.zoneOf(harness.latestAttempts.get("last").serverId()),
                "timeouts at all servers ejected the whole home zone");
    }
}
