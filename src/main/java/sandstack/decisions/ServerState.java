package sandstack.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.SetupRateLimiter;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/** What this instance knows of one server; its health marks are here too. One thread; all calls O(1). */
final class ServerState {
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    final String id;
    final long hash;
    int zone;
    int cell;
    double rating = 1;
    long startedAtMicros;
    EndpointState state = EndpointState.GONE;
    long drainingSinceMicros;

    int consecutiveFailures;
    private long ejectedUntilMicros;
    boolean trialInFlight;
    /** What it last gave an error to, until it has served something. */
    String lastErrorSource;

    double messageDelayMicros;
    long delayReportedAtMicros = Long.MIN_VALUE / 2;
    /** When its messages last took too long. */
    long lastSlowAtMicros = Long.MIN_VALUE / 2;

    final CapacityEstimate estimate;
    final SetupRateLimiter setupLimiter;
    final SlowStartBudget slowStartBudget = new SlowStartBudget();

    int migrationExponent;
    long migrationStartMicros;
    long migrationEndMicros;
    final Map<String, TrackedRequest> established = new LinkedHashMap<>();
    final Map<String, Integer> connectionsByGroup = new LinkedHashMap<>();

    ServerState(String id, BalancerContext context) {
        this.id = id;
        this.hash = SeededRandom.hash(id);
        this.estimate = context.capacity.newEstimate();
        this.setupLimiter = new SetupRateLimiter(context.limits.maxSetupsPerSecond(), context.nowMicros());
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }

    void recordFailure(BalancerContext context) {
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
        ejectedUntilMicros = context.nowMicros() + (context.updateIntervalMicros() << consecutiveFailures >> 1);
    }

    /**
     * An error may be the request's own fault: some err wherever they go, and marks for that emptied the
     * fleet. The server is at fault once it errs on another group too, or once another serves the request.
     */
    void recordError(TrackedRequest request, BalancerContext context) {
        String errorSource = request.event.group() != null ? request.event.group() : request.clientKey;
        if (lastErrorSource != null && !lastErrorSource.equals(errorSource)) {
            recordFailure(context);
        }
        lastErrorSource = errorSource;
        request.recordErrorAt(this);
    }

    void clearFailures() {
        consecutiveFailures = 0;
        ejectedUntilMicros = 0;
        trialInFlight = false;
    }

    /** A mark that has run out ends by one trial, not by a crowd. */
    boolean isSelectable(BalancerContext context) {
        return consecutiveFailures == 0 || (context.nowMicros() >= ejectedUntilMicros && !trialInFlight);
    }

    /**
     * A mark that has run out says nothing any more, though no trial has come to clear it: counted on, it
     * kept a balancer shedding after the trouble had passed.
     */
    boolean isEjected(BalancerContext context) {
        return consecutiveFailures > 0 && context.nowMicros() < ejectedUntilMicros;
    }

    /** The part of its capacity that it has by now: 1 when it is warm. */
    double slowStartFraction(BalancerContext context) {
        return context.settings().slowStartFraction(startedAtMicros, context.nowMicros());
    }

    /** A fresh process: what was known of the old one says nothing, and it is cold. */
    void onRestart(long newStartedAtMicros, BalancerContext context) {
        startedAtMicros = newStartedAtMicros;
        consecutiveFailures = 0;
        ejectedUntilMicros = 0;
        messageDelayMicros = 0;
        estimate.onRestart();
        slowStartBudget.onRestart(context.nowMicros());
    }
}
