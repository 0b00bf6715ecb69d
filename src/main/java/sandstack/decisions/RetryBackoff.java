package sandstack.decisions;

import java.util.Map;
import sandstack.random.BoundedMap;

/**
 * The retry number n and the interval of each client key ("Exponential back-off, revisited"). Holds the
 * {@value #MAX_KEYS} keys that failed last; older ones begin at n = 0 again. One thread; all calls O(1).
 */
final class RetryBackoff {
    /** Interval n spans 2^n slots; n stops growing here, when one interval outlasts the usual deadlines. */
    static final int MAX_N = 8;

    private static final int MAX_KEYS = 4096;

    /** Retry state of one client key. */
    static final class RetryState {
        int n;
        long end;
    }

    private final BalancerContext context;
    private final Map<String, RetryState> byKey = new BoundedMap<>(MAX_KEYS);

    RetryBackoff(BalancerContext context) {
        this.context = context;
    }

    /** Null where the key has not failed lately. */
    RetryState of(String key) {
        return byKey.get(key);
    }

    /** A failed placement: n rises, and the next interval starts where the current one ends. */
    RetryState raise(String key) {
        RetryState b = byKey.remove(key);
        if (b == null) {
            b = new RetryState();
        }
        byKey.put(key, b);
        b.n = Math.min(b.n + 1, MAX_N);
        b.end = Math.max(context.nowMicros, b.end) + (context.slotMicros << b.n);
        return b;
    }

    /** A moment drawn over the whole of the current interval. */
    long draw(RetryState b) {
        return b.end - (context.slotMicros << b.n) + (long) (context.uniform() * (context.slotMicros << b.n));
    }

    /** How long the current interval lasts yet; 0 where there is none. */
    long rest(String key) {
        RetryState b = byKey.get(key);
        return b == null ? 0 : Math.max(0, b.end - context.nowMicros);
    }

    /** A connection that stayed up for long, past its interval, clears the count. */
    void stayedUp(TrackedRequest r) {
        RetryState b = byKey.get(r.key);
        if (b != null && context.nowMicros - r.openedAt > context.ejectionUnitMicros && context.nowMicros > b.end) {
            byKey.remove(r.key);
        }
    }
}
