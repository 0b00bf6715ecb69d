package sandstack.capacity;

/**
 * Lets so many set-ups a second through to one feed server, as a token bucket that holds a tenth of a second's worth,
 * at least one. Owned by the module's record of the server; one thread; O(1).
 */
public final class Gate {
    private static final double DEPTH_SECONDS = 0.1;
    private final double perMicro;
    private final double depth;
    private double tokens;
    private long at;

    /**
     * Creates a gate whose bucket is full at {@code now}, in microseconds.
     *
     * @param perSecond set-ups a second; 0 lets everything through
     */
    public Gate(double perSecond, long now) {
        this.perMicro = perSecond / 1e6;
        this.depth = Math.max(1, perSecond * DEPTH_SECONDS);
        this.tokens = depth;
        this.at = now;
    }

    /** Whether one set-up may pass at {@code now}, in microseconds; takes nothing from the bucket. */
    public boolean open(long now) {
        if (perMicro <= 0) {
            return true;
        }
        tokens = Math.min(depth, tokens + perMicro * Math.max(0, now - at));
        at = Math.max(at, now);
        return tokens >= 1;
    }

    /** One set-up has passed: takes a token from the bucket. */
    public void through() {
        tokens -= 1;
    }
}
