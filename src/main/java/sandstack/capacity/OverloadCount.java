package sandstack.capacity;

/**
 * Counts the overloaded servers of the home zone, or of all other zones, in one evaluation by one relay. A server is
 * observed if this relay has connections to it or finds it overloaded. Used by one thread; every call is O(1).
 */
public final class OverloadCount {
    /** The fleet is overloaded if more than this fraction of the observed servers is. */
    private static final double OVERLOADED_FRACTION = 0.5;
    /** Divisor of the change that one evaluation makes to the moving average. */
    private static final int SMOOTHING_DIVISOR = 2;
    /**
     * Divisor of the decrease of the moving average in an evaluation that observes too few servers. The average then
     * decays more slowly, since too few observations are no evidence of recovery.
     */
    private static final int DECAY_DIVISOR = 4;

    private int readyCount;
    private int observedCount;
    private int overloadedCount;
    private int locallyFullCount;

    /**
     * Adds one server that is ready.
     *
     * @param overloaded whether the server is ejected, or its latency or its utilization is too high
     * @param locallyFull whether it is overloaded by the connections of this relay alone
     * @param hasConnections whether this relay has connections to it
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
     * The moving average of the fraction of observed servers that are overloaded.
     *
     * @param previousFraction result of the previous evaluation
     * @param minObserved smallest number of observed servers that counts as evidence
     */
    public double smoothedOverloadedFraction(double previousFraction, int minObserved) {
        if (observedCount < minObserved) {
            return previousFraction - previousFraction / DECAY_DIVISOR;
        }
        double fraction = (double) overloadedCount / observedCount;
        return previousFraction + (fraction - previousFraction) / SMOOTHING_DIVISOR;
    }

    /**
     * Whether most of the observed servers of the home zone, or of all zones if at most one is observed in the home
     * zone, are overloaded, so that neither placing nor migrating connections can help. Servers of the home zone that
     * are full only because of this relay do not count while other zones have headroom: connections that a small zone
     * cannot take go to those zones.
     */
    public static boolean isFleetOverloaded(OverloadCount homeZone, OverloadCount otherZones) {
        int observed = homeZone.observedCount;
        int overloaded = homeZone.overloadedCount;
        if (homeZone.observedCount <= 1) {
            // one server is no majority, so the servers of other zones count too
            observed += otherZones.observedCount;
            overloaded += otherZones.overloadedCount;
        }
        if (homeZone.locallyFullCount > 0 && otherZones.hasHeadroom()) {
            overloaded -= homeZone.locallyFullCount;
        }
        return observed > 1 && overloaded > observed * OVERLOADED_FRACTION;
    }

    private boolean hasHeadroom() {
        return overloadedCount == locallyFullCount && overloadedCount < readyCount * OVERLOADED_FRACTION;
    }
}
