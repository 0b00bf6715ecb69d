package sandstack.configuration;

import java.util.random.RandomGenerator;

/**
 * When a relay next asks a control machine. With each failure the number n rises by one, and the attempt is drawn over
 * the whole next interval of 2^n slots, which begins where the current one ends: relays that lost a machine together
 * come back at a falling rate. One thread.
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

    /** A wait over the widest interval, where there is no hurry. */
    long randomMaxDelayMicros() {
        return random.nextLong(slotMicros << maxExponent);
    }

    /** A session stayed up. */
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
