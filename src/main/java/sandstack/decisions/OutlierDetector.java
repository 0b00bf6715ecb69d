package sandstack.decisions;

/**
 * The circuit breaker of one server: ejects it after failures that are attributed to it. Each consecutive failure
 * doubles the ejection time, up to a limit. After that time the server is half-open: one attempt goes there as a trial,
 * and a connection that stays up closes the breaker. Confined to the thread of the load balancer. All calls are O(1).
 */
final class OutlierDetector {
    /**
     * Limit of the failure count: further failures do not prolong the ejection, which then lasts 4 update intervals.
     */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    private final BalancerContext context;
    private int consecutiveFailures;
    private long ejectedUntilMicros;
    private boolean trialInFlight;
    /**
     * Group or client of the last request that the server answered with an error; null once it has served a request.
     */
    private String lastErrorSource;

    OutlierDetector(BalancerContext context) {
        this.context = context;
    }

    /** An attempt starts at this server; it is the trial if failures are recorded. */
    void onAttemptStarted() {
        if (consecutiveFailures > 0) {
            trialInFlight = true;
        }
    }

    /**
     * An attempt or a connection at this server has ended, whether the trial or an older one; another trial may start.
     */
    void onAttemptEnded() {
        trialInFlight = false;
    }

    boolean isTrialInFlight() {
        return trialInFlight;
    }

    /**
     * Records an attempt that ended without a connection as a failure of this server, unless the outcome is no evidence
     * against it: a rejection only shows that the server is full, and an error may be caused by the request itself.
     *
     * @param request a request whose latest attempt was at this server
     */
    void onAttemptFailed(TrackedRequest request, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ERROR) {
            onError(request);
        } else if (outcome.failed() && outcome != AttemptOutcome.REJECTED) {
            recordFailure();
        }
    }

    /**
     * Handles an error answer of this server. Some requests are answered with an error by every server, and ejecting
     * servers for them would empty the fleet. An error is therefore recorded as a failure only if the previous error of
     * this server was for another group or client, or {@linkplain #onServed once another server serves the request}.
     */
    private void onError(TrackedRequest request) {
        String errorSource = request.event.group() != null ? request.event.group() : request.clientKey;
        if (lastErrorSource != null && !lastErrorSource.equals(errorSource)) {
            recordFailure();
        }
        lastErrorSource = errorSource;
        request.recordErrorAtServer();
    }

    /**
     * This server has established the connection of a request: records failures at the servers that answered it with an
     * error before.
     */
    void onServed(TrackedRequest request) {
        lastErrorSource = null;
        request.takeServersWithErrors().forEach(server -> server.outlierDetector.recordFailure());
    }

    /** Records one failure and ejects the server for 1, 2 or 4 update intervals. */
    void recordFailure() {
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
        ejectedUntilMicros = context.nowMicros() + (context.updateIntervalMicros() << consecutiveFailures >> 1);
    }

    /** Whether failures are recorded that no successful trial has cleared. */
    boolean hasFailures() {
        return consecutiveFailures > 0;
    }

    /**
     * When a trial that has just established a connection counts as successful if the connection is still up. An
     * overloaded server may accept a connection and drop it soon after.
     */
    long trialEndMicros() {
        return context.nowMicros() + context.updateIntervalMicros();
    }

    /** A connection has stayed up until the end of its trial: clears the failures. */
    void onTrialSucceeded() {
        if (consecutiveFailures > 0) {
            consecutiveFailures = 0;
            ejectedUntilMicros = 0;
            trialInFlight = false;
        }
    }

    /** Whether the server may be picked: no failures are recorded, or it is half-open without a trial in flight. */
    boolean isSelectable() {
        return consecutiveFailures == 0 || (context.nowMicros() >= ejectedUntilMicros && !trialInFlight);
    }

    /**
     * Whether the ejection time is still running. A half-open server does not count as ejected; otherwise load would be
     * shed because of it.
     */
    boolean isEjected() {
        return consecutiveFailures > 0 && context.nowMicros() < ejectedUntilMicros;
    }

    /**
     * The process of the server was restarted: failures of the previous process do not apply to the new one. The source
     * of the last error is kept, so that the first error for another group or client counts.
     */
    void onRestart() {
        consecutiveFailures = 0;
        ejectedUntilMicros = 0;
    }
}
