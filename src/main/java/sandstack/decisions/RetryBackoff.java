package sandstack.decisions;

import java.util.Map;
import sandstack.random.BoundedMap;

/**
 * The retry number n and the backoff interval of each client key: binary exponential backoff with intervals that do not
 * overlap ("Exponential back-off, revisited"). Holds the {@value #MAX_KEYS} keys that failed last; any other key is at
 * n = 0, and its first failure sets n to 1. Confined to the thread of the load balancer. All calls are O(1).
 */
final class RetryBackoff {
    /** Largest n. Interval n spans 2^n slots, and the longest interval is longer than usual deadlines. */
    static final int MAX_EXPONENT = 8;

    /** Limit of the client keys held, which bounds the memory. */
    private static final int MAX_KEYS = 4096;

    /** Retry number, as the exponent n of the interval, and current backoff interval of one client key. */
    static final class RetryState {
        private int exponent;
        private long intervalEndMicros;
    }

    private final BalancerContext context;
    private final Map<String, RetryState> stateByClientKey = new BoundedMap<>(MAX_KEYS);

    RetryBackoff(BalancerContext context) {
        this.context = context;
    }

    /** Records a failed placement: increments n and starts the next interval at the end of the current one. */
    RetryState recordFailure(String clientKey) {
        RetryState state = stateByClientKey.remove(clientKey);
        if (state == null) {
            state = new RetryState();
        }
        stateByClientKey.put(clientKey, state);
        state.exponent = Math.min(state.exponent + 1, MAX_EXPONENT);
        state.intervalEndMicros =
                Math.max(context.nowMicros(), state.intervalEndMicros) + (context.slotMicros() << state.exponent);
        return state;
    }

    /** Draws a time uniformly from the current interval. */
    long drawRetryMicros(RetryState state) {
        long intervalMicros = context.slotMicros() << state.exponent;
        return state.intervalEndMicros - intervalMicros + (long) (context.uniform() * intervalMicros);
    }

    /** Time until the end of the current interval; 0 if there is none. */
    long remainingMicros(String clientKey) {
        RetryState state = stateByClientKey.get(clientKey);
        return state == null ? 0 : Math.max(0, state.intervalEndMicros - context.nowMicros());
    }

    /**
     * Clears the retry number when a connection has ended that lasted longer than an update interval and beyond the end
     * of the backoff interval.
     */
    void clearAfterLongConnection(TrackedRequest request) {
        RetryState state = stateByClientKey.get(request.clientKey);
        if (state != null
                && context.nowMicros() - request.establishedAtMicros() > context.updateIntervalMicros()
                && context.nowMicros() > state.intervalEndMicros) {
            stateByClientKey.remove(request.clientKey);
        }
    }
}
