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

/** The four rules, the back-off and the outcomes, on scripted events. */
class LoadBalancerTest {
    private static final long SLOT = Rig.AIM / 16;

    private static List<BalancerAction> fail(Rig rig, String id, AttemptOutcome how) {
        StartAttempt a = rig.attempts.get(id);
        return rig.send(new AttemptEnded(id, rig.tries.get(id) - 1, a.serverId(), how, false, 1000, null));
    }

    /** Makes the connection "r" stand; returns its server. */
    private static String standing(Rig rig) {
        rig.request("r", "k");
        String server = rig.attempts.get("r").serverId();
        rig.send(new ConnectionEstablished("r", 0, server, 10));
        return server;
    }

    @Test
    void firstLandingPrefersTheHomeZone() {
        Rig rig = new Rig(Rig.settings().build(), 7);
        rig.list(6, 2);
        for (int i = 0; i < 50; i++) {
            rig.request("r" + i, "k" + i);
            assertEquals(0, rig.zoneOf(rig.attempts.get("r" + i).serverId()));
        }
    }

    @Test
    void delayIsUniformOverTheWholeIntervalAndGenerationsNeverOverlap() {
        double least = 1;
        double most = 0;
        for (int seed = 0; seed < 200; seed++) {
            Rig rig = new Rig(Rig.settings().build(), seed);
            rig.list(6, 2);
            rig.request("r", "k");
            long start = rig.now;
            long first = delay(fail(rig, "r", AttemptOutcome.REJECTED));
            assertTrue(first <= 2 * SLOT + 1);
            least = Math.min(least, first / (2.0 * SLOT));
            most = Math.max(most, first / (2.0 * SLOT));
            rig.advance(first);
            assertEquals(2, rig.tries.get("r"));
            long second = rig.now + delay(fail(rig, "r", AttemptOutcome.REJECTED));
            assertTrue(second >= start + 2 * SLOT, "the second retry waits for the end of the first interval");
            assertTrue(second <= start + 2 * SLOT + 4 * SLOT + 1);
        }
        assertTrue(least < 0.05 && most > 0.95, "draws span " + least + " to " + most);
    }

    private static long delay(List<BalancerAction> actions) {
        for (BalancerAction a : actions) {
            if (a instanceof SetTimer t && t.token() > 0) {
                return t.delayMicros();
            }
        }
        throw new AssertionError("no delay in " + actions);
    }

    /** Clients that are not promised advice were told none, and came back at once. */
    @Test
    void aRefusalSaysTheRestOfTheIntervalEvenWhereAdviceIsNotPromised() {
        Rig rig = new Rig(Rig.settings().attempts(1).noAdvicePromised().build(), 3);
        rig.list(6, 2);
        rig.request("r", "k");
        assertEquals(
                2 * SLOT,
                ((Reject) fail(rig, "r", AttemptOutcome.CONNECT_FAILED).get(0)).retryAfterMicros());
    }

    @Test
    void countIsKeptByClientKeyAndResumed() {
        Rig rig = new Rig(Rig.settings().attempts(1).build(), 3);
        rig.list(6, 2);
        List<Long> rests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            rig.request("r" + i, "k");
            Reject refused =
                    (Reject) fail(rig, "r" + i, AttemptOutcome.CONNECT_FAILED).get(0);
            rests.add(refused.retryAfterMicros());
            rig.now += refused.retryAfterMicros() + 1;
        }
        assertEquals(List.of(2 * SLOT, 4 * SLOT, 8 * SLOT, 16 * SLOT), rests);
    }

    /** A feed server that drains without sending its clients away kept them until it was stopped. */
    @Test
    void connectionsOnALeavingServerMoveWithinAnInterval() {
        Rig rig = new Rig(Rig.settings().build(), 3);
        rig.list(6, 2);
        String server = standing(rig);
        List<BalancerAction> actions = rig.send(new EndpointListUpdate(
                EndpointListKind.DELTA, List.of(new EndpointEntry(server, 0, 0, 0, 0, EndpointState.DRAINING, 1))));
        long wait = delay(actions);
        assertTrue(wait <= 64 * SLOT + 1);
        List<BalancerAction> due =
                rig.brain.handle(new TimerExpired(((SetTimer) actions.get(0)).token()), rig.now + wait);
        assertEquals(List.of(new Migrate("r")), due);
    }

    /** Real feed servers tell no delays: without this a crowded one was filled until it dropped connections. */
    @Test
    void toldLoadsCloseAServerUntilADelayIsTold() {
        Rig rig = new Rig(Rig.settings().build(), 3);
        rig.list(2, 2);
        String full = standing(rig);
        rig.send(new LoadReported("r", 0, full, 450_000));
        int there = 0;
        for (int i = 0; i < 50; i++) {
            rig.request("a" + i, "k" + i);
            there += rig.attempts.get("a" + i).serverId().equals(full) ? 1 : 0;
        }
        assertEquals(0, there);
        rig.send(new DelayReported("r", 0, full, 1));
        for (int i = 0; i < 50; i++) {
            rig.request("b" + i, "l" + i);
            there += rig.attempts.get("b" + i).serverId().equals(full) ? 1 : 0;
        }
        // what stands there still weighs in the draw: a fifth as much as an empty one, where it was closed before
        assertTrue(there > 5, "a quick answer says more than the loads");
    }

    /** A server loaded past what it can do loses connections to moves, as a slow one does. */
    @Test
    void anOverloadedServerIsRelieved() {
        Rig rig = new Rig(Rig.settings().build(), 3);
        rig.list(2, 2);
        String full = standing(rig);
        rig.send(new LoadReported("r", 0, full, 1_500_000));
        boolean moved = false;
        for (int i = 0; i < 20 && !moved; i++) {
            rig.now += Rig.DEADLINE / 2;
            moved = rig.send(new EndpointListUpdate(EndpointListKind.DELTA, List.of()))
                    .contains(new Migrate("r"));
        }
        assertTrue(moved);
    }

    @Test
    void aConnectionThatStaysUpClearsTheCount() {
        Rig rig = new Rig(Rig.settings().attempts(2).build(), 3);
        rig.list(6, 2);
        rig.request("a", "k");
        rig.advance(delay(fail(rig, "a", AttemptOutcome.REJECTED)));
        StartAttempt second = rig.attempts.get("a");
        rig.send(new ConnectionEstablished("a", 1, second.serverId(), 10));
        rig.now += 100 * Rig.DEADLINE;
        rig.send(new AttemptEnded("a", 1, second.serverId(), AttemptOutcome.OK, true, 10, null));
        rig.request("b", "k");
        assertTrue(delay(fail(rig, "b", AttemptOutcome.REJECTED)) <= 2 * SLOT + 1, "back at the first interval");
    }

    @Test
    void aWaitBeyondTheTimeLeftIsRefusedWithTheRestOfTheInterval() {
        Rig rig = new Rig(Rig.settings().attempts(50).build(), 5);
        rig.list(6, 2);
        rig.request("r", "k");
        long end = rig.now;
        for (int n = 1; n < 50; n++) {
            end += SLOT << Math.min(n, 8);
            List<BalancerAction> actions = fail(rig, "r", AttemptOutcome.REJECTED);
            if (actions.get(0) instanceof Reject refused) {
                assertEquals(end - rig.now, refused.retryAfterMicros());
                assertTrue(n > 1);
                return;
            }
            rig.advance(delay(actions));
        }
        throw new AssertionError("never refused");
    }

    @Test
    void unsafeRequestThatMayHaveRunIsFailedNeverRepeated() {
        for (AttemptOutcome o :
                List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)) {
            Rig rig = new Rig(
                    Rig.settings()
                            .repeat(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                            .build(),
                    1);
            rig.list(6, 2);
            rig.request("r", "k");
            assertEquals(List.of(new Fail("r")), fail(rig, "r", o), o.toString());
        }
        for (AttemptOutcome o : List.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)) {
            Rig rig = new Rig(
                    Rig.settings()
                            .repeat(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)
                            .build(),
                    1);
            rig.list(6, 2);
            rig.request("r", "k");
            rig.advance(delay(fail(rig, "r", o)));
            assertEquals(2, rig.tries.get("r"), o.toString());
        }
    }

    @Test
    void keyedRequestStaysInItsCellAndItsWindow() {
        for (int seed = 0; seed < 40; seed++) {
            Rig rig = new Rig(
                    Rig.settings()
                            .repeat(Idempotency.WITH_KEY, DeduplicationScope.CELL)
                            .build(),
                    seed);
            rig.list(6, 2);
            rig.request("r", "k");
            String first = rig.attempts.get("r").serverId();
            List<BalancerAction> actions = fail(rig, "r", AttemptOutcome.ERROR);
            assertFalse(actions.stream().anyMatch(a -> a instanceof Reject));
            rig.advance(delay(actions));
            if (rig.tries.get("r") == 2) {
                assertEquals(rig.cellOf(first), rig.cellOf(rig.attempts.get("r").serverId()));
            }
            rig.now += Rig.WINDOW + 1;
            if (rig.tries.get("r") == 2) {
                assertEquals(List.of(new Fail("r")), fail(rig, "r", AttemptOutcome.REJECTED));
            }
        }
    }

    @Test
    void keyedRequestInAnyGroupMayBeRefused() {
        Rig rig = new Rig(
                Rig.settings()
                        .repeat(Idempotency.WITH_KEY, DeduplicationScope.ALL)
                        .attempts(1)
                        .build(),
                1);
        rig.list(6, 2);
        rig.request("r", "k");
        assertTrue(fail(rig, "r", AttemptOutcome.ERROR).get(0) instanceof Reject);
    }

    @Test
    void aDrainingServerGetsNothingNew() {
        Rig rig = new Rig(Rig.settings().build(), 2);
        rig.list(4, 1);
        rig.phase("s0", EndpointState.DRAINING);
        rig.phase("s1", EndpointState.GONE);
        for (int i = 0; i < 100; i++) {
            rig.request("r" + i, "k" + i);
            String s = rig.attempts.get("r" + i).serverId();
            assertNotEquals("s0", s);
            assertNotEquals("s1", s);
        }
    }

    @Test
    void coldServersShareABudgetEvenInACrowd() {
        int sent = 0;
        for (int b = 0; b < 20; b++) {
            Rig rig = new Rig(Rig.settings().build(), b);
            rig.list(6, 1);
            for (int i = 0; i < 10; i++) {
                rig.now += 1_000_000;
                rig.request("w" + i, "w" + i);
            }
            rig.restart("s0");
            for (int i = 0; i < 50; i++) {
                rig.request("r" + i, "k" + i);
                sent += rig.attempts.get("r" + i).serverId().equals("s0") ? 1 : 0;
            }
        }
        assertTrue(sent <= 20, "a crowd of 1000 put " + sent + " on a cold server at once");
    }

    @Test
    void aFailedServerIsMarkedAndTriedByOneNotByACrowd() {
        Rig rig = new Rig(Rig.settings().build(), 4);
        rig.list(3, 1);
        rig.request("r", "k");
        String bad = rig.attempts.get("r").serverId();
        fail(rig, "r", AttemptOutcome.CONNECT_FAILED);
        for (int i = 0; i < 30; i++) {
            rig.request("a" + i, "a" + i);
            assertNotEquals(bad, rig.attempts.get("a" + i).serverId());
        }
        rig.now += 20 * Rig.DEADLINE;
        int trials = 0;
        for (int i = 0; i < 30; i++) {
            rig.request("b" + i, "b" + i);
            trials += rig.attempts.get("b" + i).serverId().equals(bad) ? 1 : 0;
        }
        assertEquals(1, trials);
    }

    @Test
    void slowServersConnectionsMovePacedAndOnlyWhileItStaysSlow() {
        Rig rig = new Rig(Rig.settings().build(), 4);
        rig.list(3, 1);
        for (int i = 0; i < 40; i++) {
            rig.send(new ConnectionAdopted(rig.ask("c" + i, "c" + i), "s0"));
        }
        int moved = 0;
        for (int second = 0; second < 3; second++) {
            for (BalancerAction a : rig.send(new DelayReported("c0", 0, "s0", Rig.MESSAGE * 5))) {
                moved += a instanceof Migrate ? 1 : 0;
            }
            rig.now += 1_000_000;
        }
        assertTrue(moved > 0 && moved < 30, moved + " of 40 moved in two seconds");
        assertTrue(rig.send(new DelayReported("c0", 0, "s0", Rig.MESSAGE / 2)).isEmpty());
    }

    @Test
    void listThatMustBeAskedForIsSubscribedAndReaskedInTime() {
        Rig rig = new Rig(Rig.settings().askForList().build(), 1);
        List<BalancerAction> first = rig.list(3, 1);
        assertTrue(first.contains(new WatchEndpointList()));
        for (int i = 0; i < 10; i++) {
            List<BalancerAction> actions = rig.send(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
            SetTimer t = (SetTimer) actions.get(0);
            assertTrue(t.delayMicros() <= Rig.ASK / 2 + 1);
            rig.now += t.delayMicros();
            assertEquals(List.of(new WatchEndpointList()), rig.send(new TimerExpired(t.token())));
        }
    }

    @Test
    void noServerAtAllStillAnswersEveryRequestInTime() {
        Rig rig = new Rig(Rig.settings().build(), 1);
        rig.send(new EndpointListUpdate(EndpointListKind.CACHED, List.of()));
        rig.request("r", "k");
        for (int i = 0; i < 400 && !rig.answered.contains("r"); i++) {
            rig.advance(Rig.DEADLINE / 200);
        }
        assertTrue(rig.answered.contains("r"));
        assertTrue(rig.now <= rig.start + Rig.DEADLINE);
    }

    @Test
    void eventsForUnknownRequestsAndServersAreIgnored() {
        Rig rig = new Rig(Rig.settings().build(), 1);
        rig.list(3, 1);
        List<BalancerEvent> strays = List.of(
                new ConnectionEstablished("x", 0, "s0", 1),
                new LoadReported("x", 0, "y", 1),
                new DelayReported("x", 0, "y", 1e9),
                new ClientDisconnected("x"),
                new TimerExpired(77),
                new AttemptEnded("x", 0, "y", AttemptOutcome.OK, true, 1, null),
                new PeerMessage(5, "junk"),
                new HealthCheckEnded("y", AttemptOutcome.TIMEOUT, 1, null),
                new ConnectRequested("z", 99, 0, null, null, rig.now + 5, 0, false, false));
        for (BalancerEvent e : strays) {
            List<BalancerAction> got = rig.send(e);
            assertTrue(got.isEmpty() || got.equals(List.of(new Fail("z"))), e + " gave " + got);
        }
    }

    @Test
    void settingsThatMakeNoSenseAreRefusedByName() {
        Map<String, Runnable> bad = new HashMap<>();
        bad.put("classes", () -> Rig.settings().noClasses().build());
        bad.put("homeZone", () -> Rig.settings().zone(9).build());
        bad.put("maxAttempts", () -> Rig.settings().attempts(0).build());
        bad.put("drainGrace", () -> Rig.settings().grace(-1).build());
        bad.forEach((name, make) -> {
            String said =
                    assertThrows(IllegalArgumentException.class, make::run).getMessage();
            assertTrue(said.contains(name), said);
        });
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        assertEquals(
                randomRun(11, Rig.settings().build()),
                randomRun(11, Rig.settings().build()));
    }

    @Test
    void randomRunsKeepEveryRule() {
        for (int seed = 0; seed < 60; seed++) {
            Rig.Builder b = Rig.settings();
            if (seed % 3 == 1) {
                b.repeat(Idempotency.WITH_KEY, DeduplicationScope.values()[seed % 9 / 3]);
            } else if (seed % 3 == 2) {
                b.repeat(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            }
            randomRun(seed, b.build());
        }
    }

    /** Plays chance events; the rig asserts every rule. Returns all actions. */
    private static List<BalancerAction> randomRun(int seed, BalancerSettings settings) {
        Random chance = new Random(seed);
        Rig rig = new Rig(settings, seed);
        rig.list(8, 3);
        for (int step = 0; step < 3000; step++) {
            rig.advance(chance.nextInt(40_000));
            int what = chance.nextInt(100);
            if (what < 30) {
                String group = chance.nextInt(3) == 0 ? "g" + chance.nextInt(4) : null;
                rig.send(new ConnectRequested(
                        "q" + step,
                        0,
                        0,
                        "k" + chance.nextInt(200),
                        group,
                        rig.now + Rig.DEADLINE,
                        0,
                        chance.nextInt(20) == 0,
                        chance.nextInt(4) == 0));
            } else if (what < 80) {
                rig.settleOne(chance);
            } else if (what < 84) {
                rig.phase("s" + chance.nextInt(8), EndpointState.values()[chance.nextInt(3)]);
            } else if (what < 86) {
                rig.restart("s" + chance.nextInt(8));
            } else if (what < 92) {
                rig.send(new DelayReported("q0", 0, "s" + chance.nextInt(8), chance.nextInt(400_000)));
            } else if (what < 94) {
                rig.leaveOne(chance);
            }
        }
        rig.finish();
        return rig.log;
    }
}
