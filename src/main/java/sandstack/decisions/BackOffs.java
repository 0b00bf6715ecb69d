package sandstack.decisions;

import java.util.Map;
import sandstack.random.BoundedMap;

/**
 * The retry number n and the interval of each client key ("Exponential back-off, revisited"). Holds the
 * {@value #MAX_KEYS} keys that failed last; older ones begin at n = 0 again. One thread; all calls O(1).
 */
final class BackOffs {
    /** Interval n spans 2^n slots; n stops growing here, when one interval outlasts the usual deadlines. */
    static final int MAX_N = 8;

    private static final int MAX_KEYS = 4096;

    /** Retry state of one client key. */
    static final class BackOff {
        int n;
        long end;
    }

    private final Frame f;
    private final Map<String, BackOff> byKey = new BoundedMap<>(MAX_KEYS);

    BackOffs(Frame f) {
        this.f = f;
    }

    /** Null where the key has not failed lately. */
    BackOff of(String key) {
        return byKey.get(key);
    }

    /** A failed placement: n rises, and the next interval starts where the current one ends. */
    BackOff raise(String key) {
        BackOff b = byKey.remove(key);
        if (b == null) {
            b = new BackOff();
        }
        byKey.put(key, b);
        b.n = Math.min(b.n + 1, MAX_N);
        b.end = Math.max(f.now, b.end) + (f.slot << b.n);
        return b;
    }

    /** A moment drawn over the whole of the current interval. */
    long draw(BackOff b) {
        return b.end - (f.slot << b.n) + (long) (f.uniform() * (f.slot << b.n));
    }

    /** How long the current interval lasts yet; 0 where there is none. */
    long rest(String key) {
        BackOff b = byKey.get(key);
        return b == null ? 0 : Math.max(0, b.end - f.now);
    }

    /** A connection that stayed up for long, past its interval, clears the count. */
    void stayedUp(Request r) {
        BackOff b = byKey.get(r.key);
        if (b != null && f.now - r.openedAt > f.markSlot && f.now > b.end) {
            byKey.remove(r.key);
        }
    }
}
