package sandstack.capacity;

/**
 * The servers that one selection looked at, summed up: how much is free, and why a request is rejected where none of
 * them can take it.
 *
 * <p>Classes of lower priority leave a part of the capacity free for those above them, which is trunk reservation (P.
 * Key, 1990): where all servers are limited and nearly full it keeps nearly all of the capacity in use, and it has no
 * state that could oscillate.
 *
 * <p>Reused for each selection by {@link #reset}; used by one thread; every call is O(1).
 */
public final class CandidateSummary {
    /** Fraction of all limits that the class of lowest priority leaves free; those between leave less. */
    private static final double RESERVED_FRACTION = 0.03;
    /** Below this fraction of all limits, other relays have mostly taken what looks free from here. */
    private static final double SCARCE_FRACTION = 0.1;

    private final double[] reservedFractionByClass;
    private double freeConnections = Double.POSITIVE_INFINITY;
    private double connectionLimits;
    private int fullCount;
    private int limitedCount;
    private int admittingCount;

    /**
     * Creates a summary of no server, which admits every class.
     *
     * @param priorityWeights of each class, by its index
     */
    public CandidateSummary(double[] priorityWeights) {
        reservedFractionByClass = new double[priorityWeights.length];
        if (priorityWeights.length < 2) {
            return;
        }
        for (int classIndex = 0; classIndex < priorityWeights.length; classIndex++) {
            int higherCount = countAbove(priorityWeights, priorityWeights[classIndex]);
            reservedFractionByClass[classIndex] = RESERVED_FRACTION * higherCount / (priorityWeights.length - 1);
        }
    }

    private static int countAbove(double[] weights, double weight) {
        int count = 0;
        for (double other : weights) {
            if (other > weight) {
                count++;
            }
        }
        return count;
    }

    /** Starts the next selection. */
    public void reset() {
        freeConnections = 0;
        connectionLimits = 0;
        fullCount = 0;
        limitedCount = 0;
        admittingCount = 0;
    }

    /**
     * Adds one more server that is ready and not an outlier.
     *
     * @param limitReached whether a limit of the installation closes the server
     * @return whether the server may take one more connection
     */
    public boolean add(CapacityEstimate server, boolean limitReached, long nowMicros) {
        freeConnections += server.freeConnections();
        connectionLimits += server.connectionLimit();
        if (limitReached) {
            limitedCount++;
            return false;
        }
        if (!server.admits(nowMicros)) {
            fullCount++;
            return false;
        }
        admittingCount++;
        return true;
    }

    /** Whether so little is free that one more attempt would most likely be rejected too. */
    public boolean isScarce() {
        return freeConnections < connectionLimits * SCARCE_FRACTION;
    }

    /** Whether a class may take some of what is free. */
    public boolean admits(int classIndex) {
        double reservedFraction = reservedFractionByClass[classIndex];
        boolean reserved = freeConnections < connectionLimits * reservedFraction;
        return reservedFraction == 0 || !reserved;
    }

    /** Why a request of this class has to be rejected, where waiting would not help; null where it need not be. */
    public RejectionReason rejectionReason(int classIndex) {
        if (admittingCount > 0) {
            return admits(classIndex) ? null : RejectionReason.RESERVED;
        }
        if (fullCount + limitedCount == 0) {
            return null;
        }
        return limitedCount > fullCount ? RejectionReason.SERVER_LIMIT : RejectionReason.FULL;
    }
}
