package sandstack.configuration;

import java.util.random.RandomGenerator;

/**
 * When a relay next tries a control machine. Each failure raises the exponent n, and the attempt is drawn over the
 * complete next interval of 2^n slots, which begins where the current one ends: relays that lost a machine together
 * return at a falling rate. Not thread-safe.
 */
final class ReconnectBackoff {
    private final long slotMicros;
    private final int maxExponent;
    private final RandomGenerator random;
    private int exponent;
    private long intervalEndMicros;

    ReconnectBackoff(long slotMicros, int maxExponent, RandomGenerator random, long nowMicros) {
        this.slotMicros = slotMicros;
        this.maxExponent = maxExponent;
        this.random = random;
        this.intervalEndMicros = nowMicros;
    }

    /** The moment of the first attempt, which follows no failure. */
    long firstAttemptMicros(long nowMicros) {
        return randomAttemptMicros(nowMicros);
    }

    /** The moment of the attempt after a failure. */
    long nextAttemptMicros(long nowMicros) {
        exponent = Math.min(exponent + 1, maxExponent);
        return randomAttemptMicros(nowMicros);
    }

    /** A delay over the widest interval, for attempts that are not urgent. */
    long randomMaxDelayMicros() {
        return random.nextLong(slotMicros << maxExponent);
    }

    /** A session was stable: the next failure begins with the smallest interval. */
    void reset() {
        exponent = 0;
    }

    private long randomAttemptMicros(long nowMicros) {
        long startMicros = Math.max(nowMicros, intervalEndMicros);
        long spanMicros = slotMicros << exponent;
        intervalEndMicros = startMicros + spanMicros;
        return startMicros + random.nextLong(spanMicros);
    }
}
