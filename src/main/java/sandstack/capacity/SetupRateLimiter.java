package sandstack.capacity;

/**
 * Lets so many set-ups a second through to one feed server, as a token bucket that holds a tenth of a second's worth,
 * at least one. Owned by the module's record of the server; one thread; O(1).
 */
public final class SetupRateLimiter {
    private static final double BUCKET_SECONDS = 0.1;
    private final double tokensPerMicro;
    private final double bucketSize;
    private double tokens;
    private long refilledAtMicros;

    /**
     * Creates a gate whose bucket is full at {@code now}, in microseconds.
     *
     * @param setupsPerSecond set-ups a second; 0 lets everything through
     */
    public SetupRateLimiter(double setupsPerSecond, long nowMicros) {
        this.tokensPerMicro = setupsPerSecond / 1e6;
        this.bucketSize = Math.max(1, setupsPerSecond * BUCKET_SECONDS);
        this.tokens = bucketSize;
        this.refilledAtMicros = nowMicros;
    }

    /** Whether one set-up may pass at {@code now}, in microseconds; takes nothing from the bucket. */
    public boolean hasToken(long nowMicros) {
        if (tokensPerMicro <= 0) {
            return true;
        }
        tokens = Math.min(bucketSize, tokens + tokensPerMicro * Math.max(0, nowMicros - refilledAtMicros));
        refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
        return tokens >= 1;
    }

    /** One set-up has passed: takes a token from the bucket. */
    public void takeToken() {
        tokens -= 1;
    }
}
