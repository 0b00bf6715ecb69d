package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.HealthCheckEnded;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.PeerMessage;
import sandstack.decisions.BalancerEvent.TimerExpired;

/** Placement, back-off, idempotency, ejection and migration on scripted events. */
class LoadBalancerTest {
    private static final long SLOT_MICROS = BalancerHarness.LATENCY_OBJECTIVE_MICROS / 16;

    private static List<BalancerAction> endAttempt(BalancerHarness harness, String id, AttemptOutcome outcome) {
        StartAttempt attempt = harness.latestAttempts.get(id);
        return harness.send(new AttemptEnded(
                id, harness.attemptCounts.get(id) - 1, attempt.serverId(), outcome, false, 1000, null));
    }

    /** Establishes the connection "r"; returns its server. */
    private static String establish(BalancerHarness harness) {
        harness.sendRequest("r", "k");
        String server = harness.latestAttempts.get("r").serverId();
        harness.send(new ConnectionEstablished("r", 0, server, 10));
        return server;
    }

    @Test
    void firstAttemptPrefersTheHomeZone() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 7);
        harness.listServers(6, 2);
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("r" + i, "k" + i);
            assertEquals(0, harness.zoneOf(harness.latestAttempts.get("r" + i).serverId()));
        }
    }

    @Test
    void retryIsUniformOverTheIntervalAndGenerationsNeverOverlap() {
        double smallest = 1;
        double largest = 0;
        for (int seed = 0; seed < 200; seed++) {
            BalancerHarness harness =
                    new BalancerHarness(BalancerHarness.settings().build(), seed);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            long start = harness.nowMicros;
            long first = retryDelayMicros(endAttempt(harness, "r", AttemptOutcome.REJECTED));
            assertTrue(first <= 2 * SLOT_MICROS + 1);
            smallest = Math.min(smallest, first / (2.0 * SLOT_MICROS));
            largest = Math.max(largest, first / (2.0 * SLOT_MICROS));
            harness.advance(first);
            assertEquals(2, harness.attemptCounts.get("r"));
            long second = harness.nowMicros + retryDelayMicros(endAttempt(harness, "r", AttemptOutcome.REJECTED));
            assertTrue(second >= start + 2 * SLOT_MICROS, "the second retry waits for the end of the first interval");
            assertTrue(second <= start + 2 * SLOT_MICROS + 4 * SLOT_MICROS + 1);
        }
        assertTrue(smallest < 0.05 && largest > 0.95, "draws span " + smallest + " to " + largest);
    }

    private static long retryDelayMicros(List<BalancerAction> actions) {
        for (BalancerAction action : actions) {
            if (action instanceof SetTimer timer && timer.token() > 0) {
                return timer.delayMicros();
            }
        }
        throw new AssertionError("no delay in " + actions);
    }

    /** Without a Retry-After, rejected clients would return at once. */
    @Test
    void rejectionCarriesRetryAfterEvenWhereClientsMayNotHonourIt() {
        BalancerHarness harness = new BalancerHarness(
                BalancerHarness.settings().maxAttempts(1).retryAfterNotHonored().build(), 3);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        assertEquals(
                2 * SLOT_MICROS,
                ((Reject) endAttempt(harness, "r", AttemptOutcome.CONNECT_FAILED)
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
                    endAttempt(harness, "r" + i, AttemptOutcome.CONNECT_FAILED).get(0);
            retryAfters.add(rejection.retryAfterMicros());
            harness.nowMicros += rejection.retryAfterMicros() + 1;
        }
        assertEquals(List.of(2 * SLOT_MICROS, 4 * SLOT_MICROS, 8 * SLOT_MICROS, 16 * SLOT_MICROS), retryAfters);
    }

    /** A feed server may drain without sending its clients away. */
    @Test
    void connectionsOfADrainingServerMigrateWithinAnInterval() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(6, 2);
        String server = establish(harness);
        List<BalancerAction> actions = harness.send(new EndpointListUpdate(
                EndpointListKind.DELTA, List.of(new EndpointEntry(server, 0, 0, 0, 0, EndpointState.DRAINING, 1))));
        long wait = retryDelayMicros(actions);
        assertTrue(wait <= 64 * SLOT_MICROS + 1);
        List<BalancerAction> due = harness.loadBalancer.handle(
                new TimerExpired(((SetTimer) actions.get(0)).token()), harness.nowMicros + wait);
        assertEquals(List.of(new Migrate("r")), due);
    }

    /** Real feed servers report no delays: loads alone must keep a busy one from filling until it drops connections. */
    @Test
    void reportedLoadsCloseAServerUntilADelayIsReported() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(2, 2);
        String full = establish(harness);
        harness.send(new LoadReported("r", 0, full, 450_000));
        int there = 0;
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("a" + i, "k" + i);
            there += harness.latestAttempts.get("a" + i).serverId().equals(full) ? 1 : 0;
        }
        assertEquals(0, there);
        harness.send(new DelayReported("r", 0, full, 1));
        for (int i = 0; i < 50; i++) {
            harness.sendRequest("b" + i, "l" + i);
            there += harness.latestAttempts.get("b" + i).serverId().equals(full) ? 1 : 0;
        }
        // its connections still count in the choice: a fifth of the weight of an empty one, where it was closed before
        assertTrue(there > 5, "a low delay says more than the loads");
    }

    /** Connections migrate off a server that is loaded beyond its capacity, as off a slow one. */
    @Test
    void connectionsMigrateOffAnOverloadedServer() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(2, 2);
        String full = establish(harness);
        harness.send(new LoadReported("r", 0, full, 1_500_000));
        boolean migrations = false;
        for (int i = 0; i < 20 && !migrations; i++) {
            harness.nowMicros += BalancerHarness.DEADLINE_MICROS / 2;
            migrations = harness.send(new EndpointListUpdate(EndpointListKind.DELTA, List.of()))
                    .contains(new Migrate("r"));
        }
        assertTrue(migrations);
    }

    @Test
    void longConnectionClearsTheRetryNumber() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().maxAttempts(2).build(), 3);
        harness.listServers(6, 2);
        harness.sendRequest("a", "k");
        harness.advance(retryDelayMicros(endAttempt(harness, "a", AttemptOutcome.REJECTED)));
        StartAttempt second = harness.latestAttempts.get("a");
        harness.send(new ConnectionEstablished("a", 1, second.serverId(), 10));
        harness.nowMicros += 100 * BalancerHarness.DEADLINE_MICROS;
        harness.send(new AttemptEnded("a", 1, second.serverId(), AttemptOutcome.OK, true, 10, null));
        harness.sendRequest("b", "k");
        assertTrue(
                retryDelayMicros(endAttempt(harness, "b", AttemptOutcome.REJECTED)) <= 2 * SLOT_MICROS + 1,
                "back to the first interval");
    }

    @Test
    void retryPastTheDeadlineIsRejectedWithTheRestOfTheInterval() {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().maxAttempts(50).build(), 5);
        harness.listServers(6, 2);
        harness.sendRequest("r", "k");
        long end = harness.nowMicros;
        for (int n = 1; n < 50; n++) {
            end += SLOT_MICROS << Math.min(n, 8);
            List<BalancerAction> actions = endAttempt(harness, "r", AttemptOutcome.REJECTED);
            if (actions.get(0) instanceof Reject rejection) {
                assertEquals(end - harness.nowMicros, rejection.retryAfterMicros());
                assertTrue(n > 1);
                return;
            }
            harness.advance(retryDelayMicros(actions));
        }
        throw new AssertionError("never rejected");
    }

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
            assertEquals(List.of(new Fail("r")), endAttempt(harness, "r", outcome), outcome.toString());
        }
        for (AttemptOutcome outcome : List.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings()
                            .idempotency(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                            .build(),
                    1);
            harness.listServers(6, 2);
            harness.sendRequest("r", "k");
            harness.advance(retryDelayMicros(endAttempt(harness, "r", outcome)));
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
            List<BalancerAction> actions = endAttempt(harness, "r", AttemptOutcome.ERROR);
            assertFalse(actions.stream().anyMatch(a -> a instanceof Reject));
            harness.advance(retryDelayMicros(actions));
            if (harness.attemptCounts.get("r") == 2) {
                assertEquals(
                        harness.cellOf(first),
                        harness.cellOf(harness.latestAttempts.get("r").serverId()));
            }
            harness.nowMicros += BalancerHarness.DEDUPLICATION_WINDOW_MICROS + 1;
            if (harness.attemptCounts.get("r") == 2) {
                assertEquals(List.of(new Fail("r")), endAttempt(harness, "r", AttemptOutcome.REJECTED));
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
        assertTrue(endAttempt(harness, "r", AttemptOutcome.ERROR).get(0) instanceof Reject);
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
        for (int b = 0; b < 20; b++) {
            BalancerHarness harness =
                    new BalancerHarness(BalancerHarness.settings().build(), b);
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
        assertTrue(sent <= 20, "a burst of 1000 put " + sent + " on a server in slow start at once");
    }

    @Test
    void failedServerIsEjectedAndThenGetsOneTrial() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(3, 1);
        harness.sendRequest("r", "k");
        String ejected = harness.latestAttempts.get("r").serverId();
        endAttempt(harness, "r", AttemptOutcome.CONNECT_FAILED);
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
    void connectionsOfASlowServerMigratePacedAndOnlyWhileItIsSlow() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(3, 1);
        for (int i = 0; i < 40; i++) {
            harness.send(new ConnectionAdopted(harness.connectRequest("c" + i, "c" + i), "s0"));
        }
        int migrations = 0;
        for (int second = 0; second < 3; second++) {
            for (BalancerAction a :
                    harness.send(new DelayReported("c0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS * 5))) {
                migrations += a instanceof Migrate ? 1 : 0;
            }
            harness.nowMicros += 1_000_000;
        }
        assertTrue(migrations > 0 && migrations < 30, migrations + " of 40 migrated in two seconds");
        assertTrue(harness.send(new DelayReported("c0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS / 2))
                .isEmpty());
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
        Map<String, Runnable> ejected = new HashMap<>();
        ejected.put("classes", () -> BalancerHarness.settings().noClasses().build());
        ejected.put("homeZone", () -> BalancerHarness.settings().homeZone(9).build());
        ejected.put(
                "maxAttempts", () -> BalancerHarness.settings().maxAttempts(0).build());
        ejected.put(
                "drainGrace",
                () -> BalancerHarness.settings().drainGraceMicros(-1).build());
        ejected.forEach((name, build) -> {
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
            HarnessSettings b = BalancerHarness.settings();
            if (seed % 3 == 1) {
                b.idempotency(Idempotency.WITH_KEY, DeduplicationScope.values()[seed % 9 / 3]);
            } else if (seed % 3 == 2) {
                b.idempotency(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            }
            randomRun(seed, b.build());
        }
    }

    /** Plays random events; the harness checks every rule. Returns all actions. */
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
