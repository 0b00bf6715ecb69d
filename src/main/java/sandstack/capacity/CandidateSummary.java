package sandstack.capacity;

/**
 * Summary of the servers considered in one selection: how much capacity is free and, if none of them can take the
 * request, the reason for its rejection.
 *
 * <p>Request classes of lower priority leave part of the capacity free for classes of higher priority (trunk
 * reservation; P. Key, 1990). Where all servers are limited and nearly full, this keeps nearly all of the capacity in
 * use, and it has no state that could oscillate.
 *
 * <p>Reused for each selection by {@link #reset}; used by one thread; every call is O(1).
 */
public final class CandidateSummary {
    /**
     * Fraction of the sum of all limits that a class leaves free if all other classes have higher priority. Other
     * classes leave less, in proportion to the number of classes of higher priority.
     */
    private static final double RESERVED_FRACTION = 0.03;
    /**
     * Free capacity below this fraction of the sum of all limits is scarce: other relays have probably used most of
     * what seems free to this relay.
     */
    private static final double SCARCE_FRACTION = 0.1;

    private final double[] reservedFractionByClass;
    /**
     * Sum of the free connections of the servers added; infinite until the first selection, so that every class is
     * admitted.
     */
    private double freeConnections = Double.POSITIVE_INFINITY;
    /** Sum of the connection limits of the servers added. */
    private double connectionLimits;

    private int fullCount;
    /** Servers that a limit of the installation closes. */
    private int limitReachedCount;

    private int admittingCount;

    /**
     * Creates a summary without servers, which admits every class.
     *
     * @param priorityWeights priority weight of each class, by class index
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

    /** Clears the summary for the next selection. */
    public void reset() {
        freeConnections = 0;
        connectionLimits = 0;
        fullCount = 0;
        limitReachedCount = 0;
        admittingCount = 0;
    }

    /**
     * Adds a server that is ready and is not ejected as an outlier.
     *
     * @param limitReached whether a limit of the installation closes the server
     * @return whether the server may take one more connection
     */
    public boolean add(CapacityEstimate server, boolean limitReached, long nowMicros) {
        freeConnections += server.freeConnections();
        connectionLimits += server.connectionLimit();
        if (limitReached) {
            limitReachedCount++;
            return false;
        }
        if (!server.admits(nowMicros)) {
            fullCount++;
            return false;
        }
        admittingCount++;
        return true;
    }

    /** Whether so little capacity is free that another attempt would most likely be rejected as well. */
    public boolean isScarce() {
        return freeConnections < connectionLimits * SCARCE_FRACTION;
    }

    /** Whether the free capacity is at least what this class leaves to classes of higher priority. */
    public boolean admits(int classIndex) {
        double reservedFraction = reservedFractionByClass[classIndex];
        boolean reserved = freeConnections < connectionLimits * reservedFraction;
        return reservedFraction == 0 || !reserved;
    }

    /**
     * The reason to reject a request of this class if waiting would not help; null if a server may take it or if no
     * server was added.
     */
    public RejectionReason rejectionReason(int classIndex) {
        if (admittingCount > 0) {
            return admits(classIndex) ? null : RejectionReason.RESERVED;
        }
        if (fullCount + limitReachedCount == 0) {
            return null;
        }
        return limitReachedCount > fullCount ? RejectionReason.SERVER_LIMIT : RejectionReason.FULL;
    }
}
