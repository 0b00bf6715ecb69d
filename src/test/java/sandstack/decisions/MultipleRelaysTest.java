package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;

/**
 * Runs 14 load balancers on one simulated clock and checks the limits of what a server gets from all of them together.
 */
class MultipleRelaysTest {
    private static final int RELAY_COUNT = 14;
    private static final long STEP_MICROS = 100_000;
    private static final BalancerSettings SETTINGS = BalancerHarness.settings().build();
    /** Number of connections of the default load that fill a server of rating 1, by the stated capacities. */
    private static final double CONNECTIONS_PER_SERVER =
            BalancerHarness.PLATFORM_CAPACITIES.defaultCapacity().workPerRating()
                    / BalancerHarness.PLATFORM_CAPACITIES.defaultCapacity().defaultConnectionLoad();

    private final List<BalancerHarness> relays = new ArrayList<>();
    private final Random random = new Random(17);
    private final Map<String, List<Long>> attemptTimesByServer = new HashMap<>();
    private int requestCount;

    private void startRelays(int servers) {
        for (int i = 0; i < RELAY_COUNT; i++) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings()
                            .relayCount(RELAY_COUNT)
                            .homeZone(i % 2)
                            .build(),
                    i);
            harness.listServers(servers, 1);
            relays.add(harness);
        }
    }

    private long nowMicros() {
        return relays.get(0).nowMicros;
    }

    /** Advances the clocks of all relays by one step. */
    private void advance() {
        relays.forEach(harness -> harness.advance(STEP_MICROS));
    }

    /** Sends the request of a new client to a random relay; an attempt succeeds immediately. */
    private void sendClient() {
        sendClient(false);
    }

    private void sendClient(boolean returning) {
        BalancerHarness harness = relays.get(random.nextInt(relays.size()));
        String id = "r" + requestCount++;
        harness.send(new ConnectRequested(
                id, 0, 0, "k" + id, null, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, returning));
        StartAttempt attempt = harness.latestAttempts.get(id);
        if (attempt != null) {
            attemptTimesByServer
                    .computeIfAbsent(attempt.serverId(), server -> new ArrayList<>())
                    .add(nowMicros());
            harness.send(new ConnectionEstablished(id, 0, attempt.serverId(), 20_000));
        }
    }

    private static double slowStartFraction(long ageMicros) {
        return Math.min(
                1,
                SETTINGS.slowStartInitialFraction()
                        + (1 - SETTINGS.slowStartInitialFraction()) * ageMicros / SETTINGS.slowStartDurationMicros());
    }

    /** 35 of 60 servers are replaced within 7 s. */
    @Test
    void replacedServersAreUsedDuringSlowStartWithinTheirBudget() {
        startRelays(60);
        for (int i = 0; i < 50; i++) {
            advance();
            if (i % 5 == 0) {
                sendClient();
            }
        }
        attemptTimesByServer.clear();
        Map<String, Long> startTimes = new HashMap<>();
        for (int step = 0; step < 120; step++) {
            advance();
            if (step < 70 && step % 2 == 0) {
                String server = "s" + startTimes.size();
                startTimes.put(server, nowMicros());
                relays.forEach(harness -> harness.restartServer(server));
                attemptTimesByServer.remove(server);
            }
            for (int i = 0; i < 4; i++) {
                sendClient(true);
            }
        }
        int slowStartAttempts = 0;
        for (Map.Entry<String, Long> server : startTimes.entrySet()) {
            List<Long> times = attemptTimesByServer.getOrDefault(server.getKey(), List.of());
            slowStartAttempts += times.size();
            for (int i = 0; i < times.size(); i++) {
                long from = times.get(i);
                long inWindow = times.stream()
                        .filter(t -> t >= from && t < from + SETTINGS.overloadWindowMicros())
                        .count();
                double budget = SETTINGS.overloadMultiple()
                        * CONNECTIONS_PER_SERVER
                        / SETTINGS.slowStartDurationMicros()
                        * SETTINGS.overloadWindowMicros()
                        * slowStartFraction(from - server.getValue());
                // permits come as a Poisson process with about half the budget as its mean: budget + 3 is not exceeded
                assertThat((double) inWindow).as(server.getKey()).isLessThanOrEqualTo(budget + 3);
            }
        }
        assertThat(slowStartAttempts)
                .as("attempts at servers in slow start, of %d placements", 120 * 4)
                .isGreaterThan(150);
    }

    /** All relays observe at the same time that a server has recovered; they must not send it a burst. */
    @Test
    void recoveredServerIsFilledGradually() {
        startRelays(2);
        for (BalancerHarness harness : relays) {
            for (String server : List.of("s0", "s1")) {
                harness.send(new ConnectionAdopted(harness.connectRequest("held" + server, "held" + server), server));
                harness.send(
                        new DelayReported("held" + server, 0, server, BalancerHarness.MESSAGE_OBJECTIVE_MICROS * 5));
            }
        }
        advance();
        relays.forEach(harness ->
                harness.send(new DelayReported("helds0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS / 5)));
        int offered = 0;
        for (int step = 0; step < 10; step++) {
            advance();
            relays.forEach(harness ->
                    harness.send(new DelayReported("helds1", 0, "s1", BalancerHarness.MESSAGE_OBJECTIVE_MICROS * 5)));
            for (int i = 0; i < 8; i++) {
                sendClient();
                offered++;
            }
        }
        int attemptsInFirstSecond =
                attemptTimesByServer.getOrDefault("s0", List.of()).size();
        assertThat(attemptsInFirstSecond)
                .as("attempts at s0 in the first second, of %d requests", offered)
                .isLessThan((int) Math.round(CONNECTIONS_PER_SERVER));
        for (int step = 0; step < 140; step++) {
            advance();
            sendClient();
        }
        assertThat(attemptTimesByServer.get("s0").size())
                .as("attempts at s0 after its recovery")
                .isGreaterThan(attemptsInFirstSecond + (int) Math.round(CONNECTIONS_PER_SERVER));
    }

    @Test
    void noConnectionMigratesWhileTheDelayFallsFastEnough() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(3, 1);
        for (int i = 0; i < 40; i++) {
            harness.send(new ConnectionAdopted(harness.connectRequest("c" + i, "c" + i), "s0"));
        }
        int[] migrations = new int[6];
        double[] delays = {5, 5, 3, 2, 1.9, 1.9};
        for (int second = 0; second < delays.length; second++) {
            for (BalancerAction a : harness.send(
                    new DelayReported("c0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS * delays[second]))) {
                migrations[second] += a instanceof Migrate ? 1 : 0;
            }
            harness.nowMicros += 1_000_000;
        }
        assertThat(migrations[1])
                .as("migrations while the delay stays the same")
                .isPositive();
        assertThat(migrations[2] + migrations[3])
                .as("migrations while the delay falls fast enough to meet the objective")
                .isZero();
        assertThat(migrations[4] + migrations[5])
                .as("migrations while the delay falls too slowly")
                .isPositive();
    }

    /** One relay and two servers: the slow-start budget must not be too small for a small site. */
    @Test
    void singleRelayFillsAServerInSlowStart() {
        relays.add(new BalancerHarness(BalancerHarness.settings().relayCount(1).build(), 5));
        BalancerHarness harness = relays.get(0);
        harness.listServers(2, 1);
        harness.setState("s1", EndpointState.DRAINING);
        harness.restartServer("s0");
        for (int i = 0; i < 80; i++) {
            advance();
            sendClient();
        }
        assertThat(attemptTimesByServer.get("s0").size())
                .as("attempts within 8 s at the only ready server")
                .isGreaterThanOrEqualTo(4);
    }
}
