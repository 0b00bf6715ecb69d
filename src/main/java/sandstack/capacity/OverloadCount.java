package sandstack.capacity;

/**
 * Counts the servers of the home zone, or of all other zones, that one relay sees as overloaded in one evaluation. A
 * server is observed if this relay has connections there or knows it to be overloaded. Used by one thread; every call
 * is O(1).
 */
public final class OverloadCount {
    /** More than this fraction of the observed servers makes the fleet overloaded. */
    private static final double OVERLOADED_FRACTION = 0.5;
    /** Weight of one more evaluation in the moving average. */
    private static final int SMOOTHING_DIVISOR = 2;
    /**
     * Decay of the moving average where too few servers are observed: slower, since that is no evidence of recovery.
     */
    private static final int DECAY_DIVISOR = 4;

    private int readyCount;
    private int observedCount;
    private int overloadedCount;
    private int locallyFullCount;

    /**
     * Adds one server that is ready.
     *
     * @param overloaded whether it is ejected, or its latency or its utilization is too high
     * @param locallyFull whether that follows from this relay's own connections alone
     * @param hasConnections whether this relay has connections there
     */
    public void add(boolean overloaded, boolean locallyFull, boolean hasConnections) {
        readyCount++;
        if (!overloaded && !hasConnections) {
            return;
        }
        observedCount++;
        if (overloaded) {
            overloadedCount++;
        }
        if (locallyFull) {
            locallyFullCount++;
        }
    }

    /**
     * The moving average of the overloaded fraction of the observed servers.
     *
     * @param previousFraction result of the last evaluation
     * @param minObserved the fewest observed servers that count as evidence
     */
    public double smoothedOverloadedFraction(double previousFraction, int minObserved) {
        if (observedCount < minObserved) {
            return previousFraction - previousFraction / DECAY_DIVISOR;
        }
        double fraction = (double) overloadedCount / observedCount;
        return previousFraction + (fraction - previousFraction) / SMOOTHING_DIVISOR;
    }

    /**
     * Whether so many of the observed servers are overloaded that neither placing nor migrating connections can help.
     * Servers that are full from here alone do not count while other zones have headroom: what a small zone cannot take
     * goes there.
     */
    public static boolean isFleetOverloaded(OverloadCount home, OverloadCount away) {
        int observed = home.observedCount;
        int overloaded = home.overloadedCount;
        if (home.observedCount <= 1) {
            // one server alone is no majority: the other zones decide
            observed += away.observedCount;
            overloaded += away.overloadedCount;
        }
        if (home.locallyFullCount > 0 && away.hasHeadroom()) {
            overloaded -= home.locallyFullCount;
        }
        return observed > 1 && overloaded > observed * OVERLOADED_FRACTION;
    }

    private boolean hasHeadroom() {
        return overloadedCount == locallyFullCount && overloadedCount < readyCount * OVERLOADED_FRACTION;
    }
}
