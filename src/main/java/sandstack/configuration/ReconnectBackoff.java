package sandstack.configuration;

import java.util.random.RandomGenerator;

/**
 * Schedules a relay's attempts to connect to a control machine. Each failure increments the exponent n, up to a
 * maximum. The next attempt is at a uniformly random time in the next interval of 2^n slots, which begins at the end of
 * the previous interval, or now if that is later. Relays that lost a machine at the same time therefore reconnect at a
 * decreasing rate. Not thread-safe; times are in microseconds of the relay's clock.
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

    /** The time of the first attempt, before any failure: within one slot. */
    long firstAttemptMicros(long nowMicros) {
        return randomAttemptMicros(nowMicros);
    }

    /** Records a failure and returns the time of the next attempt. */
    long nextAttemptMicros(long nowMicros) {
        exponent = Math.min(exponent + 1, maxExponent);
        return randomAttemptMicros(nowMicros);
    }

    /** A random delay shorter than the longest interval, for attempts that are not urgent. */
    long randomDelayMicros() {
        return random.nextLong(slotMicros << maxExponent);
    }

    /** Records that a session was stable: the interval after the next failure is 2 slots long. */
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
