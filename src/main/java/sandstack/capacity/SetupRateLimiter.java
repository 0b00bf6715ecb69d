package sandstack.capacity;

/**
 * Limits the rate at which one relay sets up connections at one server: a token bucket that holds the tokens of a tenth
 * of a second, but at least one token. Owned by the load balancer's state of that server; used by one thread; every
 * call is O(1).
 */
public final class SetupRateLimiter {
    /** Capacity of the bucket, as the time in which an empty one fills. */
    private static final double BUCKET_SECONDS = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double tokensPerMicro;
    private final double bucketSize;
    private double tokens;
    private long refilledAtMicros;

    /**
     * Creates a limiter whose bucket is full.
     *
     * @param setupsPerSecond rate of the tokens; 0 for no limit
     */
    public SetupRateLimiter(double setupsPerSecond, long nowMicros) {
        this.tokensPerMicro = setupsPerSecond / MICROS_PER_SECOND;
        this.bucketSize = Math.max(1, setupsPerSecond * BUCKET_SECONDS);
        this.tokens = bucketSize;
        this.refilledAtMicros = nowMicros;
    }

    /** Whether there is a token for one set-up; does not take it. */
    public boolean hasToken(long nowMicros) {
        if (tokensPerMicro <= 0) {
            return true;
        }
        refill(nowMicros);
        return tokens >= 1;
    }

    private void refill(long nowMicros) {
        tokens = Math.min(bucketSize, tokens + tokensPerMicro * Math.max(0, nowMicros - refilledAtMicros));
        refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
    }

    /** Takes the token of one set-up. */
    public void takeToken() {
        tokens -= 1;
    }
}
