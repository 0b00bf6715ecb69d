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
 * Checks the actions of one load balancer against its contract: each request gets one answer by its deadline. A request
 * has at most {@link BalancerSettings#maxAttempts} attempts, one at a time, none of them at a server after its drain
 * grace, and none that could make it take effect twice.
 */
final class RuleChecker implements BalancerAction.Handler<RuntimeException> {
    /** The latest attempt of each request. */
    final Map<String, StartAttempt> latestAttempts = new HashMap<>();

    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Set<String> answeredRequests = new HashSet<>();
    /** Open requests in the order of their arrival, including those with an established connection. */
    final Map<String, ConnectRequested> openRequests = new LinkedHashMap<>();

    final Map<String, StartAttempt> attemptsInFlight = new LinkedHashMap<>();
    final Map<String, StartAttempt> establishedAttempts = new LinkedHashMap<>();
    private final BalancerSettings settings;
    private final Map<String, EndpointEntry> endpoints;
    private final LongSupplier clockMicros;
    private final Map<String, Long> drainingSinceMicros = new HashMap<>();
    private final Map<String, Long> attemptStartMicros = new HashMap<>();
    /** By request id, the server of the first attempt that may have been executed. */
    private final Map<String, EndpointEntry> possibleExecutionServer = new HashMap<>();
    /** By request id, the start of the first attempt that may have been executed. */
    private final Map<String, Long> possibleExecutionStartMicros = new HashMap<>();

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

    /** Records an event; called before the load balancer handles it. */
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
                && !possibleExecutionServer.containsKey(requestId)
                && endpoints.containsKey(ended.serverId())) {
            possibleExecutionServer.put(requestId, endpoints.get(ended.serverId()));
            possibleExecutionStartMicros.put(
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
        assertNotNull(request, "attempt for a request that is not open: " + action);
        assertTrue(nowMicros <= request.deadlineMicros(), "attempt after the deadline");
        assertNull(attemptsInFlight.put(requestId, action), "second attempt while one is in flight");
        assertFalse(establishedAttempts.containsKey(requestId), "attempt while the connection is established");
        Long drainingMicros = drainingSinceMicros.get(action.serverId());
        assertTrue(
                drainingMicros == null || nowMicros - drainingMicros <= settings.drainGraceMicros(),
                "attempt after the drain grace");
        int attemptCount = attemptCounts.merge(requestId, 1, Integer::sum);
        assertTrue(attemptCount <= settings.maxAttempts(), "more attempts than maxAttempts");
        if (possibleExecutionServer.containsKey(requestId)) {
            checkDuplicate(action, settings.classes().get(request.classIndex()));
        }
        latestAttempts.put(requestId, action);
        attemptStartMicros.put(requestId, nowMicros);
    }

    private void checkDuplicate(StartAttempt action, RequestClass requestClass) {
        assertTrue(requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT, "non-idempotent request retried");
        if (requestClass.idempotency() == Idempotency.WITH_KEY) {
            assertTrue(
                    clockMicros.getAsLong() - possibleExecutionStartMicros.get(action.requestId())
                            <= requestClass.deduplicationWindowMicros(),
                    "retried after the deduplication window");
            EndpointEntry executedAt = possibleExecutionServer.get(action.requestId());
            EndpointEntry target = endpoints.get(action.serverId());
            assertTrue(
                    requestClass.deduplicationScope() == DeduplicationScope.ALL || target.zone() == executedAt.zone(),
                    "retried outside the zone of the deduplication scope");
            assertTrue(
                    requestClass.deduplicationScope() != DeduplicationScope.CELL || target.cell() == executedAt.cell(),
                    "retried outside the cell of the deduplication scope");
        }
    }

    @Override
    public void reject(Reject action) {
        recordAnswer(action.requestId());
        if (possibleExecutionServer.containsKey(action.requestId())) {
            RequestClass requestClass = settings.classes().get(0);
            assertTrue(
                    requestClass.idempotency() == Idempotency.IDEMPOTENT
                            || (requestClass.idempotency() == Idempotency.WITH_KEY
                                    && requestClass.deduplicationScope() == DeduplicationScope.ALL),
                    "rejected a request that may have been executed and must not be repeated");
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
        assertTrue(clockMicros.getAsLong() <= request.deadlineMicros(), "answered after the deadline");
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

    /** Checks that no open request without a connection is past its deadline. */
    void checkDeadlines() {
        for (ConnectRequested request : openRequests.values()) {
            assertTrue(
                    establishedAttempts.containsKey(request.requestId())
                            || clockMicros.getAsLong() <= request.deadlineMicros(),
                    "no answer by the deadline: " + request.requestId());
        }
    }
}
