package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.capacity.StatedCapacity;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.settings.BalancerSettingsBuilder;

/** Feeds one load balancer and checks each of its actions against the rules. */
final class BalancerHarness {
    /** What an operator may state: a load, and the price of a group. */
    static final StatedCapacities PLATFORM_CAPACITIES =
            new StatedCapacities(new StatedCapacity(1e6, 0, true, 1e6 / 15, 3), List.of());

    static final long LATENCY_OBJECTIVE_MICROS = 320_000;
    static final long DEADLINE_MICROS = 2_000_000;
    static final long DEDUPLICATION_WINDOW_MICROS = 800_000;
    static final long DRAIN_GRACE_MICROS = 1_000_000;
    static final long POLL_INTERVAL_MICROS = 10_000_000;
    static final long MESSAGE_OBJECTIVE_MICROS = 100_000;

    long nowMicros = 50_000_000;
    final long startMicros = nowMicros;
    final LoadBalancer loadBalancer;
    final BalancerSettings settings;
    final Map<String, StartAttempt> latestAttempts = new HashMap<>();
    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Set<String> answeredRequests = new HashSet<>();
    final List<BalancerAction> allActions = new ArrayList<>();
    private final Map<String, EndpointEntry> endpoints = new LinkedHashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final Map<String, ConnectRequested> openRequests = new LinkedHashMap<>();
    private final Map<String, StartAttempt> attemptsInFlight = new LinkedHashMap<>();
    private final Map<String, StartAttempt> establishedAttempts = new LinkedHashMap<>();
    private final Map<String, EndpointEntry> possiblyExecutedAt = new HashMap<>();
    private final Map<String, Long> possiblyExecutedSince = new HashMap<>();
    private final Map<String, Long> attemptStartedAt = new HashMap<>();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>((attempt, b) -> Long.compare(attempt[0], b[0]));

    BalancerHarness(BalancerSettings settings, long seed) {
        this(settings, PLATFORM_CAPACITIES, InstallationLimits.NONE, seed);
    }

    BalancerHarness(
            BalancerSettings settings, StatedCapacities statedCapacities, InstallationLimits limits, long seed) {
        this.settings = settings;
        loadBalancer = new LoadBalancer(settings, statedCapacities, limits, seed, nowMicros);
    }

    static SettingsBuilder settings() {
        return new SettingsBuilder();
    }

    /** Settings to vary in a test. */
    static final class SettingsBuilder {
        private List<RequestClass> classes = List.of(requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        private int maxAttempts = 4;
        private int homeZone;
        private int instanceCount = 10;
        private long drainGraceMicros = DRAIN_GRACE_MICROS;
        private boolean endpointListPolled;
        private boolean retryAfterHonored = true;

        private static RequestClass requestClass(Idempotency repeat, DeduplicationScope scope) {
            return requestClass(1, repeat, scope);
        }

        private static RequestClass requestClass(double worth, Idempotency repeat, DeduplicationScope scope) {
            return new RequestClass(
                    LATENCY_OBJECTIVE_MICROS,
                    DEADLINE_MICROS,
                    worth,
                    repeat,
                    scope,
                    DEDUPLICATION_WINDOW_MICROS,
                    MESSAGE_OBJECTIVE_MICROS);
        }

        SettingsBuilder classes(double worth, double otherWorth) {
            classes = List.of(
                    requestClass(worth, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    requestClass(otherWorth, Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
            return this;
        }

        SettingsBuilder idempotency(Idempotency repeat, DeduplicationScope scope) {
            classes = List.of(requestClass(repeat, scope));
            return this;
        }

        SettingsBuilder noClasses() {
            classes = List.of();
            return this;
        }

        SettingsBuilder maxAttempts(int n) {
            maxAttempts = n;
            return this;
        }

        SettingsBuilder homeZone(int z) {
            homeZone = z;
            return this;
        }

        SettingsBuilder instanceCount(int n) {
            instanceCount = n;
            return this;
        }

        SettingsBuilder drainGraceMicros(long g) {
            drainGraceMicros = g;
            return this;
        }

        SettingsBuilder pollEndpointList() {
            endpointListPolled = true;
            return this;
        }

        SettingsBuilder retryAfterNotHonored() {
            retryAfterHonored = false;
            return this;
        }

        BalancerSettings build() {
            return BalancerSettingsBuilder.of(classes)
                    .instanceCount(instanceCount)
                    .homeZone(homeZone)
                    .zoneCount(2)
                    .sharedGroups(true)
                    .endpointListPolled(endpointListPolled)
                    .pollIntervalMicros(POLL_INTERVAL_MICROS)
                    .maxAttempts(maxAttempts)
                    .connectTimeoutMicros(50_000)
                    .retryAfterHonored(retryAfterHonored)
                    .maxRetryAfterMicros(60_000_000)
                    .healthCheckCost(0.002)
                    .gossipAllowed(true)
                    .gossipCost(0.01)
                    .crossZoneCost(0.08)
                    .migrationCost(0.01)
                    .drainGraceMicros(drainGraceMicros)
                    .slowStartInitialFraction(0.3)
                    .slowStartDurationMicros(8_000_000)
                    .overloadMultiple(3)
                    .overloadWindowMicros(2_000_000)
                    .build();
        }
    }

    /** n servers, every third of them in the other zone; two to a cell. */
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
            drainingSince.remove(server);
        } else {
            drainingSince.putIfAbsent(server, nowMicros);
        }
    }

    void restartServer(String server) {
        drainingSince.remove(server);
        updateEndpoint(server, EndpointState.READY, nowMicros);
    }

    private void updateEndpoint(String server, EndpointState state, long startedAt) {
        EndpointEntry known = endpoints.get(server);
        EndpointEntry changed = new EndpointEntry(
                server, known.zone(), known.cell(), known.machineKind(), startedAt, state, known.rating());
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
        if (event instanceof ConnectRequested request
                && request.classIndex() < settings.classes().size()) {
            openRequests.put(request.requestId(), request);
        }
        if (event instanceof ConnectionEstablished e) {
            StartAttempt attempt = attemptsInFlight.remove(e.requestId());
            if (attempt != null) {
                establishedAttempts.put(e.requestId(), attempt);
            }
        } else if (event instanceof AttemptEnded e) {
            attemptsInFlight.remove(e.requestId());
            establishedAttempts.remove(e.requestId());
            if (!e.outcome().notExecuted
                    && !possiblyExecutedAt.containsKey(e.requestId())
                    && endpoints.containsKey(e.serverId())) {
                possiblyExecutedAt.put(e.requestId(), endpoints.get(e.serverId()));
                possiblyExecutedSince.put(e.requestId(), attemptStartedAt.getOrDefault(e.requestId(), nowMicros));
            }
            if (e.requestFinished()) {
                closeRequest(e.requestId());
            }
        } else if (event instanceof ClientDisconnected e) {
            closeRequest(e.requestId());
        }
        List<BalancerAction> actions = loadBalancer.handle(event, nowMicros);
        actions.forEach(this::check);
        allActions.addAll(actions);
        return actions;
    }

    private void closeRequest(String id) {
        if (openRequests.remove(id) != null) {
            answeredRequests.add(id);
        }
    }

    private void check(BalancerAction action) {
        if (action instanceof StartAttempt attempt) {
            ConnectRequested request = openRequests.get(attempt.requestId());
            assertNotNull(request, "attempt for a request that is over: " + attempt);
            assertTrue(nowMicros <= request.deadlineMicros(), "attempt past the deadline");
            assertNull(attemptsInFlight.put(attempt.requestId(), attempt), "two attempts out");
            assertFalse(establishedAttempts.containsKey(attempt.requestId()), "attempt while the connection stands");
            Long drainingAt = drainingSince.get(attempt.serverId());
            assertTrue(
                    drainingAt == null || nowMicros - drainingAt <= settings.drainGraceMicros(),
                    "sent past a drain's grace");
            int attemptNumber = attemptCounts.merge(attempt.requestId(), 1, Integer::sum);
            assertTrue(attemptNumber <= settings.maxAttempts(), "too many attempts");
            EndpointEntry executedAt = possiblyExecutedAt.get(attempt.requestId());
            if (executedAt != null) {
                RequestClass requestClass = settings.classes().get(request.classIndex());
                assertTrue(requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT, "unsafe request repeated");
                if (requestClass.idempotency() == Idempotency.WITH_KEY) {
                    assertTrue(
                            nowMicros - possiblyExecutedSince.get(attempt.requestId())
                                    <= requestClass.deduplicationWindowMicros(),
                            "repeated past the window");
                    EndpointEntry target = endpoints.get(attempt.serverId());
                    assertTrue(
                            requestClass.deduplicationScope() == DeduplicationScope.ALL
                                    || target.zone() == executedAt.zone(),
                            "left its zone");
                    assertTrue(
                            requestClass.deduplicationScope() != DeduplicationScope.CELL
                                    || target.cell() == executedAt.cell(),
                            "left its cell");
                }
            }
            latestAttempts.put(attempt.requestId(), attempt);
            attemptStartedAt.put(attempt.requestId(), nowMicros);
        } else if (action instanceof Reject attempt) {
            recordAnswer(attempt.requestId());
            if (possiblyExecutedAt.containsKey(attempt.requestId())) {
                RequestClass requestClass = settings.classes().get(0);
                assertTrue(
                        requestClass.idempotency() == Idempotency.IDEMPOTENT
                                || (requestClass.idempotency() == Idempotency.WITH_KEY
                                        && requestClass.deduplicationScope() == DeduplicationScope.ALL),
                        "refused what may have run");
            }
        } else if (action instanceof Fail attempt) {
            if (openRequests.containsKey(attempt.requestId())) {
                recordAnswer(attempt.requestId());
            }
        } else if (action instanceof SetTimer attempt) {
            assertTrue(attempt.delayMicros() > 0);
            timers.add(new long[] {nowMicros + attempt.delayMicros(), attempt.token()});
        }
    }

    private void recordAnswer(String id) {
        ConnectRequested request = openRequests.remove(id);
        assertNotNull(request, "answered twice: " + id);
        assertTrue(nowMicros <= request.deadlineMicros(), "answered late");
        assertFalse(attemptsInFlight.containsKey(id), "answered with an attempt out");
        answeredRequests.add(id);
    }

    /** Lets time pass; timers fire, attempts at their deadline time out. */
    void advance(long durationMicros) {
        long untilMicros = nowMicros + durationMicros;
        while (true) {
            long dueMicros = timers.isEmpty() ? Long.MAX_VALUE : timers.peek()[0];
            String overdue = null;
            for (StartAttempt attempt : attemptsInFlight.values()) {
                long timeoutAt = attemptStartedAt.get(attempt.requestId()) + attempt.timeoutMicros();
                if (timeoutAt < dueMicros) {
                    dueMicros = timeoutAt;
                    overdue = attempt.requestId();
                }
            }
            if (dueMicros > untilMicros) {
                break;
            }
            nowMicros = Math.max(nowMicros, dueMicros);
            if (overdue != null) {
                endAttempt(overdue, AttemptOutcome.TIMEOUT);
            } else {
                send(new TimerExpired(timers.poll()[1]));
            }
            for (ConnectRequested request : openRequests.values()) {
                assertTrue(
                        establishedAttempts.containsKey(request.requestId()) || nowMicros <= request.deadlineMicros(),
                        "no answer in time: " + request.requestId());
            }
        }
        nowMicros = untilMicros;
    }

    private void endAttempt(String id, AttemptOutcome outcome) {
        StartAttempt attempt =
                attemptsInFlight.containsKey(id) ? attemptsInFlight.get(id) : establishedAttempts.get(id);
        boolean requestFinished = outcome == AttemptOutcome.OK || establishedAttempts.containsKey(id);
        send(new AttemptEnded(
                id,
                attemptCounts.get(id) - 1,
                attempt.serverId(),
                outcome,
                requestFinished,
                nowMicros - attemptStartedAt.get(id),
                null));
    }

    void endRandomAttempt(Random random) {
        Map<String, StartAttempt> candidates =
                attemptsInFlight.isEmpty() || random.nextInt(3) == 0 ? establishedAttempts : attemptsInFlight;
        if (candidates.isEmpty()) {
            return;
        }
        List<String> ids = new ArrayList<>(candidates.keySet());
        String id = ids.get(random.nextInt(ids.size()));
        if (candidates == attemptsInFlight && random.nextInt(2) == 0) {
            send(new ConnectionEstablished(
                    id,
                    attemptCounts.get(id) - 1,
                    candidates.get(id).serverId(),
                    nowMicros - attemptStartedAt.get(id)));
        } else {
            AttemptOutcome[] outcomes = AttemptOutcome.values();
            AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length - 1)];
            endAttempt(
                    id,
                    outcome == AttemptOutcome.OK && candidates == attemptsInFlight ? AttemptOutcome.REJECTED : outcome);
        }
    }

    void disconnectWaitingClient(Random random) {
        Iterator<String> ids = openRequests.keySet().iterator();
        if (ids.hasNext()) {
            String id = ids.next();
            if (!attemptsInFlight.containsKey(id) && !establishedAttempts.containsKey(id)) {
                send(new ClientDisconnected(id));
            }
        }
    }

    /** Ends all; every request must have been answered. */
    void finish() {
        advance(3 * DEADLINE_MICROS);
        for (String id : new ArrayList<>(establishedAttempts.keySet())) {
            endAttempt(id, AttemptOutcome.OK);
        }
        assertTrue(openRequests.isEmpty(), "never answered: " + openRequests.keySet());
    }
}
