package sandstack.decisions;

/**
 * The average set-up time over all servers, by successful set-ups and by timeouts that took longer, and the number of
 * consecutive timeouts. Confined to the thread of the load balancer. All calls are O(1).
 */
final class SetupTimeTracker {
    /** The weight of a new sample in the moving average is 1 divided by this. */
    private static final int SMOOTHING_DIVISOR = 4;
    /**
     * Consecutive timeouts that count against their servers. More of them point to a dependency that the servers share.
     */
    private static final int MAX_CONSECUTIVE_SERVER_TIMEOUTS = 2;

    private int consecutiveTimeouts;
    private long smoothedSetupMicros;

    /** An attempt succeeded after this time. */
    void onEstablished(long setupMicros) {
        consecutiveTimeouts = 0;
        smoothedSetupMicros += (Math.max(0, setupMicros) - smoothedSetupMicros) / SMOOTHING_DIVISOR;
    }

    /**
     * An attempt timed out after this time, so set-ups take at least as long.
     *
     * @param deadlineMicros deadline of the class of the request; limits the average
     */
    void onTimeout(long elapsedMicros, long deadlineMicros) {
        smoothedSetupMicros = Math.max(smoothedSetupMicros, Math.min(elapsedMicros, deadlineMicros));
        consecutiveTimeouts++;
    }

    /**
     * Whether there were so many consecutive timeouts that a shared dependency is slow rather than the servers.
     * Ejecting servers for these timeouts would empty the fleet.
     */
    boolean isSharedDependencySlow() {
        return consecutiveTimeouts > MAX_CONSECUTIVE_SERVER_TIMEOUTS;
    }

    /** Moving average of the set-up time; 0 before the first sample. */
    long smoothedSetupMicros() {
        return smoothedSetupMicros;
    }
}
