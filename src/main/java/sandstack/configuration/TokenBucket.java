package sandstack.configuration;

/** Allows so much a second on average and a burst at once. One thread; O(1). */
final class TokenBucket {
    private static final double SECOND = 1_000_000;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long at;

    TokenBucket(double perSecond, double burst, long now) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.at = now;
    }

    /** Takes so much where it is there; more than a burst is taken from a full bucket, and pays later. */
    boolean take(double amount, long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - at) / SECOND * perSecond);
        at = Math.max(at, now);
        if (tokens < Math.min(amount, burst)) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
