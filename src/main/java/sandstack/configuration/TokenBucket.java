package sandstack.configuration;

/** Limits a rate to so many tokens a second with a burst of its capacity. Not thread-safe; O(1). */
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

    /** Takes tokens where there are enough. More than the capacity is taken from a full bucket and leaves a debt. */
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
