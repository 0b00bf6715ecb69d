package sandstack.configuration;

/**
 * A token bucket: limits the average rate to {@code tokensPerSecond} and a burst to {@code capacity} tokens. Starts
 * full. Not thread-safe; a call costs O(1). Times are in microseconds of a monotonic clock.
 */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final double tokensPerSecond;
    private final double capacity;
    private double tokens;
    private long refilledMicros;

    TokenBucket(double tokensPerSecond, double capacity, long nowMicros) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledMicros = nowMicros;
    }

    /**
     * Takes tokens if there are enough; returns whether it did. An amount above the capacity is taken from a full
     * bucket and leaves a negative balance, which is refilled first.
     */
    boolean tryTake(double amount, long nowMicros) {
        tokens = Math.min(
                capacity, tokens + Math.max(0, nowMicros - refilledMicros) / MICROS_PER_SECOND * tokensPerSecond);
        refilledMicros = Math.max(refilledMicros, nowMicros);
        if (tokens < Math.min(amount, capacity)) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
