package sandstack.decisions;

/**
 * Whether a request stays in the home zone or spills over to another. The home zone is preferred; requests spill over
 * with the largest probability that one of three rules gives: lost capacity, overloaded servers, and utilization above
 * that elsewhere. One thread; O(servers).
 */
final class SpilloverPolicy {
    /** The home zone keeps all requests while at least this fraction of its ready rating is usable. */
    private static final double USABLE_RATING_THRESHOLD = 0.5;
    /** Nor does it spill over while no more than this fraction of its observed servers is overloaded. */
    private static final double TOLERATED_OVERLOADED_FRACTION = 0.1;
    /**
     * Nor while its least utilized server exceeds the least utilized one elsewhere by no more than this, as a fraction
     * of a server; at twice this gap all requests spill over.
     */
    static final double UTILIZATION_GAP = 0.15;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final FleetOverloadDetector overloadDetector;

    SpilloverPolicy(
            BalancerContext context,
            EndpointTable endpoints,
            ServerHeadroom headroom,
            FleetOverloadDetector overloadDetector) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.overloadDetector = overloadDetector;
    }

    /** Draws whether the next request stays in the home zone; it always does where there is no other zone. */
    boolean staysHome() {
        double homeProbability = Math.min(Math.min(byUsableRating(), byOverloadedFraction()), byUtilizationGap());
        return homeProbability >= 1 || endpoints.awayServers.length == 0 || context.uniform() < homeProbability;
    }

    /** Usable are servers that are neither ejected nor draining, as far as they are through their slow start. */
    private double byUsableRating() {
        double usableRating = 0;
        for (ServerState server : endpoints.homeServers) {
            usableRating += server.isReady() && server.outlierDetector.isSelectable()
                    ? server.rating * server.slowStartFraction(context)
                    : 0;
        }
        return endpoints.readyHomeRating <= 0
                ? 0
                : usableRating / (endpoints.readyHomeRating * USABLE_RATING_THRESHOLD);
    }

    /** Spills over like the overloaded fraction, as far as servers elsewhere are not overloaded themselves. */
    private double byOverloadedFraction() {
        return 1
                - Math.max(0, overloadDetector.overloadedHomeFraction() - TOLERATED_OVERLOADED_FRACTION)
                        * (1 - overloadDetector.overloadedAwayFraction());
    }

    private double byUtilizationGap() {
        return 1
                - (headroom.lowestUtilization(endpoints.homeServers)
                                - headroom.lowestUtilization(endpoints.awayServers)
                                - UTILIZATION_GAP)
                        / UTILIZATION_GAP;
    }
}
