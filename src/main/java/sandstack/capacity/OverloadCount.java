package sandstack.capacity;

/** What the servers of one zone, or of all others, look like from one relay at one look. One thread; O(1). */
public final class OverloadCount {
    /** Load is shed while more than this part of the servers known here are late or marked. */
    private static final double OVERLOADED_FRACTION = 0.5;

    private int readyCount;
    private int observedCount;
    private int overloadedCount;
    private int locallyFullCount;

    /** One server that is ready: whether it is late, whether by nothing but what stands there, and whether any does. */
    public void add(boolean overloaded, boolean locallyFull, boolean hasConnections) {
        readyCount++;
        if (overloaded || hasConnections) {
            observedCount++;
            overloadedCount += overloaded ? 1 : 0;
            locallyFullCount += locallyFull ? 1 : 0;
        }
    }

    /**
     * The part of the known servers that are late, evened out over looks.
     *
     * @param previousFraction what the last look gave
     * @param minObserved so many known servers say something
     */
    public double smoothedOverloadedFraction(double previousFraction, int minObserved) {
        return previousFraction
                + (observedCount >= minObserved
                        ? ((double) overloadedCount / observedCount - previousFraction) / 2
                        : -previousFraction / 4);
    }

    /**
     * Whether most of what is known is late, so that placing and moving cannot help. Servers that are full only by
     * what stands there from here are no jam while others have room: what a small zone cannot take went elsewhere
     * anyhow, but for those that were refused.
     */
    public static boolean isFleetOverloaded(OverloadCount home, OverloadCount away) {
        boolean awayHasHeadroom = home.locallyFullCount > 0
                && away.overloadedCount == away.locallyFullCount
                && away.overloadedCount < away.readyCount * OVERLOADED_FRACTION;
        // a zone left with one server would never count as jammed by itself
        int observed = home.observedCount + (home.observedCount <= 1 ? away.observedCount : 0);
        int overloaded = home.overloadedCount
                + (home.observedCount <= 1 ? away.overloadedCount : 0)
                - (awayHasHeadroom ? home.locallyFullCount : 0);
        return observed > 1 && overloaded > observed * OVERLOADED_FRACTION;
    }
}
