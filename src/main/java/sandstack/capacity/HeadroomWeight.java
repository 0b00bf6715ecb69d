package sandstack.capacity;

/**
 * The factor by which a server's selection weight falls as the server fills up, from 1 for an idle server to 0 for one
 * that is closed. Stateless; every method is O(1).
 *
 * <p>Utilization is the fraction in use of a stated upper bound; see {@link CapacityEstimate#utilization}. Occupancy is
 * the fraction in use of a limit that was learned; see {@link CapacityEstimate#occupancy}.
 */
public final class HeadroomWeight {
    /** From this utilization on a server has the least weight. */
    public static final double LEAST_WEIGHT_UTILIZATION = 0.4;
    /** From this utilization on a server takes no more connections. */
    public static final double CLOSED_UTILIZATION = 0.8;
    /** From this utilization on connections migrate away, as they do from a slow server. */
    public static final double OVERLOADED_UTILIZATION = 1.0;

    /** From this utilization on a server has a reduced weight. */
    private static final double REDUCED_UTILIZATION = 0.25;

    private static final double FULL_WEIGHT = 1;
    private static final double REDUCED_WEIGHT = 0.3;
    private static final double MIN_WEIGHT = 0.05;
    private static final double CLOSED_WEIGHT = 0;
    /** A delay of at most the latency objective divided by this says nothing of how full a server is. */
    private static final double INFORMATIVE_DELAY_DIVISOR = 3;

    private HeadroomWeight() {}

    /** The weight at this occupancy; never 0, since a learned limit closes a server by itself. */
    public static double byOccupancy(double occupancy) {
        return Math.max(MIN_WEIGHT, 1 - occupancy * occupancy);
    }

    /**
     * The weight at this utilization.
     *
     * @param loadsKnown false where the utilization rests on a default load, which puts a server last but does not
     *     close it
     */
    public static double byUtilization(double utilization, boolean loadsKnown) {
        if (utilization >= CLOSED_UTILIZATION && loadsKnown) {
            return CLOSED_WEIGHT;
        }
        if (utilization >= LEAST_WEIGHT_UTILIZATION) {
            return MIN_WEIGHT;
        }
        return utilization >= REDUCED_UTILIZATION ? REDUCED_WEIGHT : FULL_WEIGHT;
    }

    /** Whether a delay of messages is long enough to say how full the server is. */
    public static boolean isInformative(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros * INFORMATIVE_DELAY_DIVISOR > messageLatencyObjectiveMicros;
    }

    /** The weight at a delay that is {@linkplain #isInformative informative}; 0 from the latency objective on. */
    public static double byDelay(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros >= messageLatencyObjectiveMicros ? CLOSED_WEIGHT : REDUCED_WEIGHT;
    }
}
