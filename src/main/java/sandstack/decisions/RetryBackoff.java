package sandstack.decisions;

import java.util.Map;
import sandstack.random.BoundedMap;

/**
 * The retry number n and the interval of each client key ("Exponential back-off, revisited"). Holds the
 * {@value #MAX_KEYS} keys that failed last; older ones begin at n = 0 again. One thread; all calls O(1).
 */
final class RetryBackoff {
    /** Interval n spans 2^n slots; n stops growing here, when one interval outlasts the usual deadlines. */
    static final int MAX_EXPONENT = 8;

    private static final int MAX_KEYS = 4096;

    /** Retry state of one client key. */
    static final class RetryState {
        int exponent;
        long intervalEndMicros;
    }

    private final BalancerContext context;
    private final Map<String, RetryState> stateByClientKey = new BoundedMap<>(MAX_KEYS);

    RetryBackoff(BalancerContext context) {
        this.context = context;
    }

    /** Null where the key has not failed lately. */
    RetryState get(String clientKey) {
        return stateByClientKey.get(clientKey);
    }

    /** A failed placement: n rises, and the next interval starts where the current one ends. */
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

    /** A moment drawn over the whole of the current interval. */
    long drawRetryMicros(RetryState state) {
        return state.intervalEndMicros
                - (context.slotMicros() << state.exponent)
                + (long) (context.uniform() * (context.slotMicros() << state.exponent));
    }

    /** How long the current interval lasts yet; 0 where there is none. */
    long remainingMicros(String clientKey) {
        RetryState state = stateByClientKey.get(clientKey);
        return state == null ? 0 : Math.max(0, state.intervalEndMicros - context.nowMicros());
    }

    /** A connection that stayed up for long, past its interval, clears the count. */
    void clearAfterLongConnection(TrackedRequest request) {
        RetryState state = stateByClientKey.get(request.clientKey);
        if (state != null
                && context.nowMicros() - request.establishedAtMicros() > context.updateIntervalMicros()
                && context.nowMicros() > state.intervalEndMicros) {
            stateByClientKey.remove(request.clientKey);
        }
    }
}
