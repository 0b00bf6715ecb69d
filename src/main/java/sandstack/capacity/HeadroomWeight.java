package sandstack.capacity;

/**
 * The factor by which a server's selection weight decreases as the server fills up, from 1 for an idle server to 0 for
 * a closed one. Stateless; every method is O(1).
 *
 * <p>Utilization is the fraction in use of a capacity that is stated as an upper bound; see
 * {@link CapacityEstimate#utilization}. Occupancy is the fraction in use of a learned limit; see
 * {@link CapacityEstimate#occupancy}.
 */
public final class HeadroomWeight {
    /** Utilization from which a server has the lowest weight above 0. */
    public static final double MIN_WEIGHT_UTILIZATION = 0.4;
    /** Utilization from which a server takes no more connections. */
    public static final double CLOSED_UTILIZATION = 0.8;
    /** Utilization from which connections migrate away, as they do from a slow server. */
    public static final double OVERLOADED_UTILIZATION = 1.0;

    /** Utilization from which a server has a reduced weight. */
    private static final double REDUCED_UTILIZATION = 0.25;

    private static final double FULL_WEIGHT = 1;
    private static final double REDUCED_WEIGHT = 0.3;
    private static final double MIN_WEIGHT = 0.05;
    private static final double CLOSED_WEIGHT = 0;
    /** A delay of at most the latency objective divided by this does not indicate how full a server is. */
    private static final double INFORMATIVE_DELAY_DIVISOR = 3;

    private HeadroomWeight() {}

    /** The weight at this occupancy; never 0, since a learned limit itself closes a full server. */
    public static double byOccupancy(double occupancy) {
        return Math.max(MIN_WEIGHT, 1 - occupancy * occupancy);
    }

    /**
     * The weight at this utilization.
     *
     * @param loadsKnown false if the utilization is computed from a built-in default load only; the server then gets
     *     the lowest weight above 0 instead of being closed
     */
    public static double byUtilization(double utilization, boolean loadsKnown) {
        if (utilization >= CLOSED_UTILIZATION && loadsKnown) {
            return CLOSED_WEIGHT;
        }
        if (utilization >= MIN_WEIGHT_UTILIZATION) {
            return MIN_WEIGHT;
        }
        return utilization >= REDUCED_UTILIZATION ? REDUCED_WEIGHT : FULL_WEIGHT;
    }

    /** Whether a message delay is long enough to indicate how full the server is. */
    public static boolean isInformative(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros * INFORMATIVE_DELAY_DIVISOR > messageLatencyObjectiveMicros;
    }

    /** The weight at an {@linkplain #isInformative informative} delay; 0 if it reaches the latency objective. */
    public static double byDelay(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros >= messageLatencyObjectiveMicros ? CLOSED_WEIGHT : REDUCED_WEIGHT;
    }
}
