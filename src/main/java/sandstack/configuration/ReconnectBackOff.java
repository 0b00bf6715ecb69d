package sandstack.configuration;

import java.util.random.RandomGenerator;

/**
 * When a relay next asks a control machine. With each failure the number n rises by one, and the attempt is drawn over
 * the whole next interval of 2^n slots, which begins where the current one ends: relays that lost a machine together
 * come back at a falling rate. One thread.
 */
final class ReconnectBackOff {
    private final long slot;
    private final int mostN;
    private final RandomGenerator random;
    private int n;
    private long intervalEnd;

    ReconnectBackOff(long slot, int mostN, RandomGenerator random, long now) {
        this.slot = slot;
        this.mostN = mostN;
        this.random = random;
        this.intervalEnd = now;
    }

    /** The moment of the first attempt, which follows no failure. */
    long first(long now) {
        return draw(now);
    }

    /** The moment of the attempt after a failure. */
    long next(long now) {
        n = Math.min(n + 1, mostN);
        return draw(now);
    }

    /** A wait over the widest interval, where there is no hurry. */
    long drawWidest() {
        return random.nextLong(slot << mostN);
    }

    /** A session stayed up. */
    void clear() {
        n = 0;
    }

    private long draw(long now) {
        long start = Math.max(now, intervalEnd);
        long span = slot << n;
        intervalEnd = start + span;
        return start + random.nextLong(span);
    }
}
