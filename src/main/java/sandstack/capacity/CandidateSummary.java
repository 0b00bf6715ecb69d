package sandstack.capacity;

/**
 * What one draw saw of the servers that it might have taken, and what follows where it took none. What is kept free
 * for classes of more worth is trunk reservation (Key, 1990): where all servers are bounded and nearly full it keeps
 * nearly all of the room in use, and has no state of its own that could oscillate. One thread; O(1).
 */
public final class CandidateSummary {
    /** Part of all bounds that is closed to the class of least worth; those between keep less. */
    private static final double RESERVED_FRACTION = 0.03;
    /** Below this part of all bounds, other relays have mostly taken what looks free from here. */
    private static final double SCARCE_FRACTION = 0.1;

    private final double[] reservedFraction;
    private double freeConnections = Double.POSITIVE_INFINITY;
    private double connectionLimits;
    private int fullCount;
    private int limitedCount;
    private int add;

    /**
     * Creates a survey that has seen no server yet.
     *
     * @param priorityWeights of each class
     */
    public CandidateSummary(double[] priorityWeights) {
        reservedFraction = new double[priorityWeights.length];
        for (int c = 0; c < priorityWeights.length; c++) {
            int above = 0;
            for (double other : priorityWeights) {
                above += other > priorityWeights[c] ? 1 : 0;
            }
            reservedFraction[c] =
                    priorityWeights.length < 2 ? 0 : RESERVED_FRACTION * above / (priorityWeights.length - 1);
        }
    }

    /** Begins anew. */
    public void reset() {
        freeConnections = 0;
        connectionLimits = 0;
        fullCount = 0;
        limitedCount = 0;
        add = 0;
    }

    /**
     * One more server that is ready and without a mark; returns whether it may take one more.
     *
     * @param limitReached a limit of the installation closes it
     */
    public boolean add(CapacityEstimate server, boolean limitReached, long nowMicros) {
        freeConnections += server.freeConnections();
        connectionLimits += server.connectionLimit();
        boolean closed = !limitReached && !server.admits(nowMicros);
        limitedCount += limitReached ? 1 : 0;
        fullCount += closed ? 1 : 0;
        add += limitReached || closed ? 0 : 1;
        return !limitReached && !closed;
    }

    /** Whether so little is free that one more attempt would most likely be turned away too. */
    public boolean isScarce() {
        return freeConnections < connectionLimits * SCARCE_FRACTION;
    }

    /** Whether a class may have some of what is free. */
    public boolean admits(int classIndex) {
        return reservedFraction[classIndex] == 0
                || !(freeConnections < connectionLimits * reservedFraction[classIndex]);
    }

    /** Why a request of this class cannot be placed, where waiting would not help; null where it may. */
    public RejectionReason rejectionReason(int classIndex) {
        if (add > 0) {
            return admits(classIndex) ? null : RejectionReason.RESERVED;
        }
        return fullCount + limitedCount == 0
                ? null
                : limitedCount > fullCount ? RejectionReason.SERVER_LIMIT : RejectionReason.FULL;
    }
}
