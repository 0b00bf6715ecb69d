package sandstack.decisions;

/**
 * How long successful set-ups take over all servers, and how many attempts in a row timed out. Owned by one
 * {@link LoadBalancer}; one thread; all calls O(1).
 */
final class SetupTimeTracker {
    /** A new sample counts for 1/4 in the moving average. */
    private static final int SMOOTHING_DIVISOR = 4;
    /** Consecutive timeouts that are blamed on their servers; further ones point to something that servers share. */
    private static final int MAX_BLAMED_CONSECUTIVE_TIMEOUTS = 2;

    private int consecutiveTimeouts;
    private long smoothedSetupMicros;

    /** An attempt succeeded after this time. */
    void onEstablished(long setupMicros) {
        consecutiveTimeouts = 0;
        smoothedSetupMicros += (Math.max(0, setupMicros) - smoothedSetupMicros) / SMOOTHING_DIVISOR;
    }

    /**
     * An attempt timed out after this time: set-ups take at least as long.
     *
     * @param deadlineMicros deadline of the request's class; the average grows no further
     */
    void onTimeout(long elapsedMicros, long deadlineMicros) {
        smoothedSetupMicros = Math.max(smoothedSetupMicros, Math.min(elapsedMicros, deadlineMicros));
        consecutiveTimeouts++;
    }

    /**
     * Whether so many attempts timed out in a row that a shared dependency is slow rather than the servers. Ejecting
     * servers for it would empty the fleet.
     */
    boolean isSharedDependencySlow() {
        return consecutiveTimeouts > MAX_BLAMED_CONSECUTIVE_TIMEOUTS;
    }

    /** Moving average of the set-up time; 0 before the first sample. */
    long smoothedSetupMicros() {
        return smoothedSetupMicros;
    }
}
