package sandstack.decisions;

/**
 * Ejects one server after failures that are blamed on it, in the way of a circuit breaker. Each consecutive failure
 * doubles the ejection time, up to a limit. After that time the server is half-open: one attempt goes there as a trial,
 * and a connection that stays up closes the breaker. One for each server; one thread; all calls O(1).
 */
final class OutlierDetector {
    /** Failures past this number do not prolong the ejection, which is then 4 update intervals. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    private final BalancerContext context;
    private int consecutiveFailures;
    private long ejectedUntilMicros;
    private boolean trialInFlight;
    /** Group or client of the last request answered with an error; null once the server has served a request. */
    private String lastErrorSource;

    OutlierDetector(BalancerContext context) {
        this.context = context;
    }

    /** An attempt starts at this server: the trial where failures have been recorded. */
    void onAttemptStarted() {
        if (consecutiveFailures > 0) {
            trialInFlight = true;
        }
    }

    /** Any attempt or connection at this server has ended, the trial or an older one; another trial may start. */
    void onAttemptEnded() {
        trialInFlight = false;
    }

    boolean isTrialInFlight() {
        return trialInFlight;
    }

    /**
     * Blames this server for an attempt that ended without a connection, as far as the outcome speaks against it: a
     * rejection says only that it is full, and an error may be the request's own fault.
     *
     * @param request whose latest attempt was at this server
     */
    void onAttemptFailed(TrackedRequest request, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ERROR) {
            onError(request);
        } else if (outcome.failed() && outcome != AttemptOutcome.REJECTED) {
            recordFailure();
        }
    }

    /**
     * Some requests are answered with an error wherever they go, and ejecting servers for them would empty the fleet.
     * The server is blamed once it also errs on a request of another group or client, or {@linkplain #onServed once
     * another server serves this one}.
     */
    private void onError(TrackedRequest request) {
        String errorSource = request.event.group() != null ? request.event.group() : request.clientKey;
        if (lastErrorSource != null && !lastErrorSource.equals(errorSource)) {
            recordFailure();
        }
        lastErrorSource = errorSource;
        request.recordErrorAtServer();
    }

    /** This server has established a request's connection: blames those that answered it with an error before. */
    void onServed(TrackedRequest request) {
        lastErrorSource = null;
        request.takeServersWithErrors().forEach(server -> server.outlierDetector.recordFailure());
    }

    /** Records one failure and ejects the server for 1, 2 or 4 update intervals. */
    void recordFailure() {
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
        ejectedUntilMicros = context.nowMicros() + (context.updateIntervalMicros() << consecutiveFailures >> 1);
    }

    /** Whether failures have been recorded that no trial has cleared. */
    boolean hasFailures() {
        return consecutiveFailures > 0;
    }

    /**
     * When the trial that has just established a connection succeeds, if the connection is still up: an overloaded
     * server may accept a connection and drop it soon after.
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

    /** Whether the server may be picked: no failures recorded, or half-open and without a trial in flight. */
    boolean isSelectable() {
        return consecutiveFailures == 0 || (context.nowMicros() >= ejectedUntilMicros && !trialInFlight);
    }

    /** Whether the ejection time runs. A half-open server does not count as ejected, or load would be shed for it. */
    boolean isEjected() {
        return consecutiveFailures > 0 && context.nowMicros() < ejectedUntilMicros;
    }

    /**
     * The server's process was restarted: earlier failures say nothing about the new one. The source of the last error
     * is kept, so that an error of another group counts from the first one on.
     */
    void onRestart() {
        consecutiveFailures = 0;
        ejectedUntilMicros = 0;
    }
}
