package sandstack.capacity;

/**
 * The part of its weight in a draw that a server keeps, by what is believed of how full it is. Stateless; every
 * method costs O(1).
 */
public final class HeadroomWeight {
    /** Used so far, a server weighs next to nothing. */
    public static final double NEARLY_FULL_UTILIZATION = 0.4;
    /** Used so far, a server takes no more connections. */
    public static final double CLOSED_UTILIZATION = 0.8;
    /** Used so far, a server's connections move as those of a slow one do. */
    public static final double OVERLOADED_UTILIZATION = 1.0;

    /** Used so far, a server weighs less than others. */
    private static final double REDUCED_UTILIZATION = 0.25;

    private static final double REDUCED_WEIGHT = 0.3;
    private static final double MIN_WEIGHT = 0.05;
    /** A delay of no more than the tightest message aim divided by this says nothing of how full a server is. */
    private static final double INFORMATIVE_DELAY_DIVISOR = 3;

    private HeadroomWeight() {}

    /** A server bounded by evidence weighs less the fuller it is, but never nothing: a guess closes no server. */
    public static double byOccupancy(double occupancy) {
        return Math.max(MIN_WEIGHT, 1 - occupancy * occupancy);
    }

    /**
     * What the use of a server leaves of its weight.
     *
     * @param loadsKnown false where the use is a guess, which puts a server last and does not close it
     */
    public static double byUtilization(double utilization, boolean loadsKnown) {
        if (utilization >= CLOSED_UTILIZATION && loadsKnown) {
            return 0;
        }
        return utilization >= NEARLY_FULL_UTILIZATION
                ? MIN_WEIGHT
                : utilization >= REDUCED_UTILIZATION ? REDUCED_WEIGHT : 1;
    }

    /** Whether a delay of messages is long enough to say how full the server is. */
    public static boolean isInformative(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros * INFORMATIVE_DELAY_DIVISOR > messageLatencyObjectiveMicros;
    }

    /** What a delay that {@linkplain #isInformative tells something} leaves of a server's weight. */
    public static double byDelay(double delayMicros, double messageLatencyObjectiveMicros) {
        return delayMicros >= messageLatencyObjectiveMicros ? 0 : REDUCED_WEIGHT;
    }
}
