package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;

/**
 * Checks the actions of one load balancer against the rules: one answer for each request, by its deadline; attempts one
 * at a time, within their limits, not at drained servers, and never with an effect twice.
 */
final class RuleChecker implements BalancerAction.Handler<RuntimeException> {
    /** The latest attempt of each request. */
    final Map<String, StartAttempt> latestAttempts = new HashMap<>();

    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Set<String> answeredRequests = new HashSet<>();
    /** Requests that need an answer, in order of arrival; also those with an established connection. */
    final Map<String, ConnectRequested> openRequests = new LinkedHashMap<>();

    final Map<String, StartAttempt> attemptsInFlight = new LinkedHashMap<>();
    final Map<String, StartAttempt> establishedAttempts = new LinkedHashMap<>();
    private final BalancerSettings settings;
    private final Map<String, EndpointEntry> endpoints;
    private final LongSupplier clockMicros;
    private final Map<String, Long> drainingSinceMicros = new HashMap<>();
    private final Map<String, Long> attemptStartMicros = new HashMap<>();
    /** Server of each request's first attempt that may have been executed, and its start. */
    private final Map<String, EndpointEntry> possiblyExecutedAt = new HashMap<>();

    private final Map<String, Long> possiblyExecutedSinceMicros = new HashMap<>();

    RuleChecker(BalancerSettings settings, Map<String, EndpointEntry> endpoints, LongSupplier clockMicros) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.clockMicros = clockMicros;
    }

    long attemptStartMicros(String requestId) {
        return attemptStartMicros.get(requestId);
    }

    void onServerReady(String serverId) {
        drainingSinceMicros.remove(serverId);
    }

    void onServerDraining(String serverId) {
        drainingSinceMicros.putIfAbsent(serverId, clockMicros.getAsLong());
    }

    /** Takes an event before the load balancer does. */
    void onEvent(BalancerEvent event) {
        if (event instanceof ConnectRequested request) {
            if (request.classIndex() < settings.classes().size()) {
                openRequests.put(request.requestId(), request);
            }
        } else if (event instanceof ConnectionEstablished established) {
            StartAttempt attempt = attemptsInFlight.remove(established.requestId());
            if (attempt != null) {
                establishedAttempts.put(established.requestId(), attempt);
            }
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof ClientDisconnected disconnected) {
            close(disconnected.requestId());
        }
    }

    private void onAttemptEnded(AttemptEnded ended) {
        String requestId = ended.requestId();
        attemptsInFlight.remove(requestId);
        establishedAttempts.remove(requestId);
        if (!ended.outcome().notExecuted
                && !possiblyExecutedAt.containsKey(requestId)
                && endpoints.containsKey(ended.serverId())) {
            possiblyExecutedAt.put(requestId, endpoints.get(ended.serverId()));
            possiblyExecutedSinceMicros.put(
                    requestId, attemptStartMicros.getOrDefault(requestId, clockMicros.getAsLong()));
        }
        if (ended.requestFinished()) {
            close(requestId);
        }
    }

    private void close(String requestId) {
        if (openRequests.remove(requestId) != null) {
            answeredRequests.add(requestId);
        }
    }

    @Override
    public void startAttempt(StartAttempt action) {
        long nowMicros = clockMicros.getAsLong();
        String requestId = action.requestId();
        ConnectRequested request = openRequests.get(requestId);
        assertNotNull(request, "attempt for a request that is over: " + action);
        assertTrue(nowMicros <= request.deadlineMicros(), "attempt past the deadline");
        assertNull(attemptsInFlight.put(requestId, action), "two attempts in flight");
        assertFalse(establishedAttempts.containsKey(requestId), "attempt while the connection is established");
        Long drainingMicros = drainingSinceMicros.get(action.serverId());
        assertTrue(
                drainingMicros == null || nowMicros - drainingMicros <= settings.drainGraceMicros(),
                "attempt past the drain grace");
        int attemptCount = attemptCounts.merge(requestId, 1, Integer::sum);
        assertTrue(attemptCount <= settings.maxAttempts(), "too many attempts");
        if (possiblyExecutedAt.containsKey(requestId)) {
            checkDuplicate(action, settings.classes().get(request.classIndex()));
        }
        latestAttempts.put(requestId, action);
        attemptStartMicros.put(requestId, nowMicros);
    }

    private void checkDuplicate(StartAttempt action, RequestClass requestClass) {
        assertTrue(requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT, "non-idempotent request retried");
        if (requestClass.idempotency() == Idempotency.WITH_KEY) {
            assertTrue(
                    clockMicros.getAsLong() - possiblyExecutedSinceMicros.get(action.requestId())
                            <= requestClass.deduplicationWindowMicros(),
                    "retried past the deduplication window");
            EndpointEntry executedAt = possiblyExecutedAt.get(action.requestId());
            EndpointEntry target = endpoints.get(action.serverId());
            assertTrue(
                    requestClass.deduplicationScope() == DeduplicationScope.ALL || target.zone() == executedAt.zone(),
                    "retried outside its zone");
            assertTrue(
                    requestClass.deduplicationScope() != DeduplicationScope.CELL || target.cell() == executedAt.cell(),
                    "retried outside its cell");
        }
    }

    @Override
    public void reject(Reject action) {
        recordAnswer(action.requestId());
        if (possiblyExecutedAt.containsKey(action.requestId())) {
            RequestClass requestClass = settings.classes().get(0);
            assertTrue(
                    requestClass.idempotency() == Idempotency.IDEMPOTENT
                            || (requestClass.idempotency() == Idempotency.WITH_KEY
                                    && requestClass.deduplicationScope() == DeduplicationScope.ALL),
                    "rejected what may have been executed");
        }
    }

    @Override
    public void fail(Fail action) {
        if (openRequests.containsKey(action.requestId())) {
            recordAnswer(action.requestId());
        }
    }

    private void recordAnswer(String requestId) {
        ConnectRequested request = openRequests.remove(requestId);
        assertNotNull(request, "answered twice: " + requestId);
        assertTrue(clockMicros.getAsLong() <= request.deadlineMicros(), "answered late");
        assertFalse(attemptsInFlight.containsKey(requestId), "answered with an attempt in flight");
        answeredRequests.add(requestId);
    }

    @Override
    public void setTimer(SetTimer action) {
        assertTrue(action.delayMicros() > 0);
    }

    @Override
    public void migrate(Migrate action) {
        // allowed at any time
    }

    @Override
    public void watchEndpointList(WatchEndpointList action) {
        // allowed at any time
    }

    /** No open request without a connection may be past its deadline. */
    void checkDeadlines() {
        for (ConnectRequested request : openRequests.values()) {
            assertTrue(
                    establishedAttempts.containsKey(request.requestId())
                            || clockMicros.getAsLong() <= request.deadlineMicros(),
                    "no answer in time: " + request.requestId());
        }
    }
}
