package sandstack.decisions;

/**
 * Determines the timeout of one attempt: a fraction of the time left until the deadline of the request, so that a retry
 * at another server remains possible, but never so short that a usual set-up would fail. Stateless; O(1).
 */
final class AttemptTimeoutPolicy {
    /** Fraction of the remaining time that one attempt may use while a retry is possible. */
    private static final double ATTEMPT_TIME_FRACTION = 0.4;
    /** Minimum timeout as a multiple of the average set-up time; shorter attempts would only repeat the work. */
    private static final int MIN_SETUP_TIMES = 3;
    /**
     * Minimum timeout as a multiple of the connect timeout, since connecting may take a whole connect timeout before
     * the set-up begins.
     */
    private static final int MIN_CONNECT_TIMEOUTS = 2;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final SetupTimeTracker setupTimes;

    AttemptTimeoutPolicy(BalancerContext context, EndpointTable endpoints, SetupTimeTracker setupTimes) {
        this.context = context;
        this.endpoints = endpoints;
        this.setupTimes = setupTimes;
    }

    /**
     * The timeout of the attempt that starts now.
     *
     * @param request the request; its attempt count already includes this attempt
     * @param remainingMicros time left until the deadline of the request
     */
    long timeoutMicros(TrackedRequest request, long remainingMicros) {
        long minTimeoutMicros = Math.max(
                MIN_SETUP_TIMES * setupTimes.smoothedSetupMicros(),
                MIN_CONNECT_TIMEOUTS * context.settings().connectTimeoutMicros());
        long timeoutMicros = Math.max((long) (remainingMicros * ATTEMPT_TIME_FRACTION), minTimeoutMicros);
        return isRetryPossible(request) && timeoutMicros < remainingMicros ? timeoutMicros : remainingMicros;
    }

    private boolean isRetryPossible(TrackedRequest request) {
        return request.remainingAttempts(context.settings()) > 0
                && endpoints.homeZoneServers.length + endpoints.otherZoneServers.length > 1;
    }
}
