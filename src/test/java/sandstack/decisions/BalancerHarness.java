package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.capacity.StatedCapacity;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.TimerExpired;

/** Drives one load balancer in simulated time; a {@link RuleChecker} checks each of its actions. */
final class BalancerHarness {
    /** Capacities as an operator may state them: the load of a connection and the overhead of a group. */
    static final StatedCapacities PLATFORM_CAPACITIES =
            new StatedCapacities(new StatedCapacity(1e6, 0, true, 1e6 / 15, 3), List.of());

    static final long LATENCY_OBJECTIVE_MICROS = 320_000;
    /** Unit of backoff intervals. */
    static final long SLOT_MICROS = LATENCY_OBJECTIVE_MICROS / 16;

    static final long DEADLINE_MICROS = 2_000_000;
    static final long DEDUPLICATION_WINDOW_MICROS = 800_000;
    static final long DRAIN_GRACE_MICROS = 1_000_000;
    static final long POLL_INTERVAL_MICROS = 10_000_000;
    static final long MESSAGE_OBJECTIVE_MICROS = 100_000;

    /** A timer that the load balancer has set. */
    private record Timer(long dueMicros, long token) {}

    long nowMicros = 50_000_000;
    final long startMicros = nowMicros;
    final LoadBalancer loadBalancer;
    final BalancerSettings settings;
    /** The latest attempt of each request. */
    final Map<String, StartAttempt> latestAttempts;
    /** Number of attempts of each request. */
    final Map<String, Integer> attemptCounts;
    /** Requests that have their final answer or whose connection has ended. */
    final Set<String> answeredRequests;

    final List<BalancerAction> allActions = new ArrayList<>();
    private final RuleChecker checker;
    private final Map<String, EndpointEntry> endpoints = new LinkedHashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((one, other) -> Long.compare(one.dueMicros, other.dueMicros));

    BalancerHarness(BalancerSettings settings, long seed) {
        this(settings, PLATFORM_CAPACITIES, InstallationLimits.NONE, seed);
    }

    BalancerHarness(
            BalancerSettings settings, StatedCapacities statedCapacities, InstallationLimits limits, long seed) {
        this.settings = settings;
        loadBalancer = new LoadBalancer(settings, statedCapacities, limits, seed, nowMicros);
        checker = new RuleChecker(settings, endpoints, () -> nowMicros);
        latestAttempts = checker.latestAttempts;
        attemptCounts = checker.attemptCounts;
        answeredRequests = checker.answeredRequests;
    }

    static HarnessSettings settings() {
        return new HarnessSettings();
    }

    /** Lists this many servers, every third of them in the other zone. */
    List<BalancerAction> listServers(int count, int serversPerCell) {
        for (int i = 0; i < count; i++) {
            endpoints.put(
                    "s" + i,
                    new EndpointEntry(
                            "s" + i,
                            i % 3 == 2 ? 1 : 0,
                            i / Math.max(1, serversPerCell),
                            0,
                            0,
                            EndpointState.READY,
                            1));
        }
        return send(new EndpointListUpdate(EndpointListKind.CACHED, new ArrayList<>(endpoints.values())));
    }

    int zoneOf(String server) {
        return endpoints.get(server).zone();
    }

    int cellOf(String server) {
        return endpoints.get(server).cell() * 10 + zoneOf(server);
    }

    void setState(String server, EndpointState state) {
        updateEndpoint(server, state, endpoints.get(server).startedAtMicros());
        if (state == EndpointState.READY) {
            checker.onServerReady(server);
        } else {
            checker.onServerDraining(server);
        }
    }

    void restartServer(String server) {
        checker.onServerReady(server);
        updateEndpoint(server, EndpointState.READY, nowMicros);
    }

    private void updateEndpoint(String server, EndpointState state, long startedAtMicros) {
        EndpointEntry known = endpoints.get(server);
        EndpointEntry changed = new EndpointEntry(
                server, known.zone(), known.cell(), known.machineKind(), startedAtMicros, state, known.rating());
        endpoints.put(server, changed);
        send(new EndpointListUpdate(EndpointListKind.DELTA, List.of(changed)));
    }

    ConnectRequested connectRequest(String id, String key) {
        return new ConnectRequested(id, 0, 0, key, null, nowMicros + DEADLINE_MICROS, 0, false, false);
    }

    void sendRequest(String id, String key) {
        send(connectRequest(id, key));
    }

    List<BalancerAction> send(BalancerEvent event) {
        checker.onEvent(event);
        List<BalancerAction> actions = loadBalancer.handle(event, nowMicros);
        for (BalancerAction action : actions) {
            action.dispatch(checker);
            if (action instanceof SetTimer timer) {
                timers.add(new Timer(nowMicros + timer.delayMicros(), timer.token()));
            }
        }
        allActions.addAll(actions);
        return actions;
    }

    /** Advances the clock; due timers expire, and attempts time out. */
    void advance(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (true) {
            long dueMicros = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMicros;
            StartAttempt timedOut = null;
            for (StartAttempt attempt : checker.attemptsInFlight.values()) {
                long timeoutAtMicros = checker.attemptStartMicros(attempt.requestId()) + attempt.timeoutMicros();
                if (timeoutAtMicros < dueMicros) {
                    dueMicros = timeoutAtMicros;
                    timedOut = attempt;
                }
            }
            if (dueMicros > endMicros) {
                break;
            }
            nowMicros = Math.max(nowMicros, dueMicros);
            if (timedOut != null) {
                endAttempt(timedOut.requestId(), AttemptOutcome.TIMEOUT);
            } else {
                send(new TimerExpired(timers.poll().token));
            }
            checker.checkDeadlines();
        }
        nowMicros = endMicros;
    }

    /** Sends 100 requests; returns how many are attempted at servers of this zone. */
    int countPlacedInZone(int zone, String prefix) {
        int count = 0;
        for (int i = 0; i < 100; i++) {
            sendRequest(prefix + i, prefix + i);
            StartAttempt attempt = latestAttempts.get(prefix + i);
            count += attempt != null && zoneOf(attempt.serverId()) == zone ? 1 : 0;
        }
        return count;
    }

    private void endAttempt(String requestId, AttemptOutcome outcome) {
        boolean inFlight = checker.attemptsInFlight.containsKey(requestId);
        StartAttempt attempt =
                inFlight ? checker.attemptsInFlight.get(requestId) : checker.establishedAttempts.get(requestId);
        boolean requestFinished = outcome == AttemptOutcome.OK || checker.establishedAttempts.containsKey(requestId);
        send(new AttemptEnded(
                requestId,
                attemptCounts.get(requestId) - 1,
                attempt.serverId(),
                outcome,
                requestFinished,
                nowMicros - checker.attemptStartMicros(requestId),
                null));
    }

    /** Ends the latest attempt of a request before a connection is established; returns the actions. */
    List<BalancerAction> failAttempt(String requestId, AttemptOutcome outcome) {
        String serverId = latestAttempts.get(requestId).serverId();
        int attempt = attemptCounts.get(requestId) - 1;
        return send(new AttemptEnded(requestId, attempt, serverId, outcome, false, 1000, null));
    }

    /** Establishes the connection of a new request; returns its server. */
    String establish(String requestId, String key) {
        sendRequest(requestId, key);
        String serverId = latestAttempts.get(requestId).serverId();
        send(new ConnectionEstablished(requestId, 0, serverId, 10));
        return serverId;
    }

    /** The delay of the request timer that these actions set. */
    static long requestTimerMicros(List<BalancerAction> actions) {
        for (BalancerAction action : actions) {
            if (action instanceof SetTimer timer && timer.token() > 0) {
                return timer.delayMicros();
            }
        }
        throw new AssertionError("no request timer in " + actions);
    }

    /** Ends or establishes a random attempt, or ends a random connection, with a random outcome. */
    void endRandomAttempt(Random random) {
        boolean chooseEstablished = checker.attemptsInFlight.isEmpty() || random.nextInt(3) == 0;
        Map<String, StartAttempt> candidates =
                chooseEstablished ? checker.establishedAttempts : checker.attemptsInFlight;
        if (candidates.isEmpty()) {
            return;
        }
        List<String> requestIds = new ArrayList<>(candidates.keySet());
        String requestId = requestIds.get(random.nextInt(requestIds.size()));
        if (!chooseEstablished && random.nextInt(2) == 0) {
            send(new ConnectionEstablished(
                    requestId,
                    attemptCounts.get(requestId) - 1,
                    candidates.get(requestId).serverId(),
                    nowMicros - checker.attemptStartMicros(requestId)));
            return;
        }
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length - 1)];
        boolean impossible = outcome == AttemptOutcome.OK && !chooseEstablished;
        endAttempt(requestId, impossible ? AttemptOutcome.REJECTED : outcome);
    }

    /** Disconnects the client of the oldest open request, unless it has an attempt in flight or a connection. */
    void disconnectWaitingClient() {
        if (checker.openRequests.isEmpty()) {
            return;
        }
        String requestId = checker.openRequests.keySet().iterator().next();
        if (!checker.attemptsInFlight.containsKey(requestId) && !checker.establishedAttempts.containsKey(requestId)) {
            send(new ClientDisconnected(requestId));
        }
    }

    /** Lets all deadlines pass and closes all connections; checks that every request was answered. */
    void finish() {
        advance(3 * DEADLINE_MICROS);
        for (String requestId : new ArrayList<>(checker.establishedAttempts.keySet())) {
            endAttempt(requestId, AttemptOutcome.OK);
        }
        assertTrue(checker.openRequests.isEmpty(), "requests without an answer: " + checker.openRequests.keySet());
    }
}
