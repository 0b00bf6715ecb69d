package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.WatchEndpointList;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.HealthCheckEnded;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.PeerMessage;
import sandstack.decisions.BalancerEvent.TimerExpired;

/** Placement, ejection, the endpoint list, settings, invalid events, and all rules for random events. */
class LoadBalancerTest {
    @Test
    void firstAttemptPrefersTheHomeZone() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 7);
        harness.listServers(6, 2);
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("r" + i, "k" + i);
            assertEquals(0, harness.zoneOf(harness.latestAttempts.get("r" + i).serverId()));
        }
    }

    /**
     * Real feed servers report no delays: reported loads alone must close a busy server before it drops connections.
     */
    @Test
    void reportedLoadsCloseAServerUntilADelayIsReported() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(2, 2);
        String full = harness.establish("r", "k");
        harness.send(new LoadReported("r", 0, full, 450_000));
        int placedOnFull = 0;
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("a" + i, "k" + i);
            placedOnFull += harness.latestAttempts.get("a" + i).serverId().equals(full) ? 1 : 0;
        }
        assertEquals(0, placedOnFull);
        harness.send(new DelayReported("r", 0, full, 1));
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("b" + i, "l" + i);
            placedOnFull += harness.latestAttempts.get("b" + i).serverId().equals(full) ? 1 : 0;
        }
        // its load still reduces its weight to a fifth of that of an empty server, but no longer closes it
        assertTrue(placedOnFull > 5, "a low message delay did not reopen the server that its load had closed");
    }

    @Test
    void drainingServerGetsNoAttempts() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 2);
        harness.listServers(4, 1);
        harness.setState("s0", EndpointState.DRAINING);
        harness.setState("s1", EndpointState.GONE);
        for (int i = 0; i < 100; i++) {
            harness.sendRequest("r" + i, "k" + i);
            String s = harness.latestAttempts.get("r" + i).serverId();
            assertNotEquals("s0", s);
            assertNotEquals("s1", s);
        }
    }

    @Test
    void slowStartBudgetHoldsUnderABurst() {
        int sent = 0;
        for (int seed = 0; seed < 20; seed++) {
            BalancerHarness harness =
                    new BalancerHarness(BalancerHarness.settings().build(), seed);
            harness.listServers(6, 1);
            for (int i = 0; i < 10; i++) {
                harness.nowMicros += 1_000_000;
                harness.sendRequest("w" + i, "w" + i);
            }
            harness.restartServer("s0");
            for (int i = 0; i < 50; i++) {
                harness.sendRequest("r" + i, "k" + i);
                sent += harness.latestAttempts.get("r" + i).serverId().equals("s0") ? 1 : 0;
            }
        }
        assertTrue(sent <= 20, "20 bursts of 50 requests put " + sent + " on servers in slow start");
    }

    @Test
    void failedServerIsEjectedAndThenGetsOneTrial() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(3, 1);
        harness.sendRequest("r", "k");
        String ejected = harness.latestAttempts.get("r").serverId();
        harness.failAttempt("r", AttemptOutcome.CONNECT_FAILED);
        for (int i = 0; i < 30; i++) {
            harness.sendRequest("a" + i, "a" + i);
            assertNotEquals(ejected, harness.latestAttempts.get("a" + i).serverId());
        }
        harness.nowMicros += 20 * BalancerHarness.DEADLINE_MICROS;
        int trials = 0;
        for (int i = 0; i < 30; i++) {
            harness.sendRequest("b" + i, "b" + i);
            trials += harness.latestAttempts.get("b" + i).serverId().equals(ejected) ? 1 : 0;
        }
        assertEquals(1, trials);
    }

    @Test
    void polledEndpointListIsWatchedAndPolledAgainAfterFailures() {
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.settings().pollEndpointList().build(), 1);
        List<BalancerAction> first = harness.listServers(3, 1);
        assertTrue(first.contains(new WatchEndpointList()));
        for (int i = 0; i < 10; i++) {
            List<BalancerAction> actions = harness.send(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
            SetTimer timer = (SetTimer) actions.get(0);
            assertTrue(timer.delayMicros() <= BalancerHarness.POLL_INTERVAL_MICROS / 2 + 1);
            harness.nowMicros += timer.delayMicros();
            assertEquals(List.of(new WatchEndpointList()), harness.send(new TimerExpired(timer.token())));
        }
    }

    @Test
    void requestsAreAnsweredByTheirDeadlineWithoutAnyServer() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 1);
        harness.send(new EndpointListUpdate(EndpointListKind.CACHED, List.of()));
        harness.sendRequest("r", "k");
        for (int i = 0; i < 400 && !harness.answeredRequests.contains("r"); i++) {
            harness.advance(BalancerHarness.DEADLINE_MICROS / 200);
        }
        assertTrue(harness.answeredRequests.contains("r"));
        assertTrue(harness.nowMicros <= harness.startMicros + BalancerHarness.DEADLINE_MICROS);
    }

    @Test
    void eventsForUnknownRequestsAndServersAreIgnored() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 1);
        harness.listServers(3, 1);
        List<BalancerEvent> unknownEvents = List.of(
                new ConnectionEstablished("x", 0, "s0", 1),
                new LoadReported("x", 0, "y", 1),
                new DelayReported("x", 0, "y", 1e9),
                new ClientDisconnected("x"),
                new TimerExpired(77),
                new AttemptEnded("x", 0, "y", AttemptOutcome.OK, true, 1, null),
                new PeerMessage(5, "junk"),
                new HealthCheckEnded("y", AttemptOutcome.TIMEOUT, 1, null),
                new ConnectRequested("z", 99, 0, null, null, harness.nowMicros + 5, 0, false, false));
        for (BalancerEvent e : unknownEvents) {
            List<BalancerAction> actions = harness.send(e);
            assertTrue(actions.isEmpty() || actions.equals(List.of(new Fail("z"))), e + " gave " + actions);
        }
    }

    @Test
    void settingsOutOfRangeAreRejectedByName() {
        Map<String, Runnable> invalidSettings = new HashMap<>();
        invalidSettings.put(
                "classes", () -> BalancerHarness.settings().noClasses().build());
        invalidSettings.put(
                "homeZone", () -> BalancerHarness.settings().homeZone(9).build());
        invalidSettings.put(
                "maxAttempts", () -> BalancerHarness.settings().maxAttempts(0).build());
        invalidSettings.put(
                "drainGrace",
                () -> BalancerHarness.settings().drainGraceMicros(-1).build());
        invalidSettings.forEach((name, build) -> {
            String message =
                    assertThrows(IllegalArgumentException.class, build::run).getMessage();
            assertTrue(message.contains(name), message);
        });
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        assertEquals(
                randomRun(11, BalancerHarness.settings().build()),
                randomRun(11, BalancerHarness.settings().build()));
    }

    @Test
    void randomRunsViolateNoRule() {
        for (int seed = 0; seed < 60; seed++) {
            HarnessSettings settings = BalancerHarness.settings();
            if (seed % 3 == 1) {
                settings.idempotency(Idempotency.WITH_KEY, DeduplicationScope.values()[seed % 9 / 3]);
            } else if (seed % 3 == 2) {
                settings.idempotency(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            }
            randomRun(seed, settings.build());
        }
    }

    /** Sends random events, with every rule checked by the harness; returns all actions. */
    private static List<BalancerAction> randomRun(int seed, BalancerSettings settings) {
        Random random = new Random(seed);
        BalancerHarness harness = new BalancerHarness(settings, seed);
        harness.listServers(8, 3);
        for (int step = 0; step < 3000; step++) {
            harness.advance(random.nextInt(40_000));
            int kind = random.nextInt(100);
            if (kind < 30) {
                String group = random.nextInt(3) == 0 ? "g" + random.nextInt(4) : null;
                harness.send(new ConnectRequested(
                        "q" + step,
                        0,
                        0,
                        "k" + random.nextInt(200),
                        group,
                        harness.nowMicros + BalancerHarness.DEADLINE_MICROS,
                        0,
                        random.nextInt(20) == 0,
                        random.nextInt(4) == 0));
            } else if (kind < 80) {
                harness.endRandomAttempt(random);
            } else if (kind < 84) {
                harness.setState("s" + random.nextInt(8), EndpointState.values()[random.nextInt(3)]);
            } else if (kind < 86) {
                harness.restartServer("s" + random.nextInt(8));
            } else if (kind < 92) {
                harness.send(new DelayReported("q0", 0, "s" + random.nextInt(8), random.nextInt(400_000)));
            } else if (kind < 94) {
                harness.disconnectWaitingClient();
            }
        }
        harness.finish();
        return harness.allActions;
    }
}
