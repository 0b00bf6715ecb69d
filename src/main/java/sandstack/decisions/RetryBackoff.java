package sandstack.decisions;

import java.util.Map;
import sandstack.random.BoundedMap;

/**
 * The retry number n and the back-off interval of each client key: binary exponential back-off with intervals that do
 * not overlap ("Exponential back-off, revisited"). Keeps the {@value #MAX_KEYS} keys that failed last; others start at
 * n = 0, of which the first failure makes 1. One thread; all calls O(1).
 */
final class RetryBackoff {
    /** Interval n spans 2^n slots; n stops growing where one interval outlasts usual deadlines. */
    static final int MAX_EXPONENT = 8;

    /** Bounds the memory for client keys. */
    private static final int MAX_KEYS = 4096;

    /** Retry state of one client key. */
    static final class RetryState {
        private int exponent;
        private long intervalEndMicros;
    }

    private final BalancerContext context;
    private final Map<String, RetryState> stateByClientKey = new BoundedMap<>(MAX_KEYS);

    RetryBackoff(BalancerContext context) {
        this.context = context;
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

    /** Draws a moment, uniformly over the current interval. */
    long drawRetryMicros(RetryState state) {
        long intervalMicros = context.slotMicros() << state.exponent;
        return state.intervalEndMicros - intervalMicros + (long) (context.uniform() * intervalMicros);
    }

    /** Time until the end of the current interval; 0 where there is none. */
    long remainingMicros(String clientKey) {
        RetryState state = stateByClientKey.get(clientKey);
        return state == null ? 0 : Math.max(0, state.intervalEndMicros - context.nowMicros());
    }

    /** A connection has ended: clears the retry number if it lasted an update interval and outlasted the back-off. */
    void clearAfterLongConnection(TrackedRequest request) {
        RetryState state = stateByClientKey.get(request.clientKey);
        if (state != null
                && context.nowMicros() - request.establishedAtMicros() > context.updateIntervalMicros()
                && context.nowMicros() > state.intervalEndMicros) {
            stateByClientKey.remove(request.clientKey);
        }
    }
}
