package sandstack.decisions;

/**
 * Decides whether a request stays in the home zone, which is preferred, or spills over to another zone. Three rules
 * each give a probability of spilling over, and the highest applies: lost capacity, overloaded servers, and a higher
 * utilization than in the other zones. Confined to the thread of the load balancer. A decision costs O(servers).
 */
final class SpilloverPolicy {
    /**
     * No request spills over because of lost capacity while at least this fraction of the ready rating of the home zone
     * is usable.
     */
    private static final double USABLE_RATING_THRESHOLD = 0.5;
    /**
     * No request spills over because of overloaded servers while at most this fraction of the observed servers of the
     * home zone is overloaded.
     */
    private static final double TOLERATED_OVERLOADED_FRACTION = 0.1;
    /**
     * No request spills over because of utilization while the lowest utilization of a server in the home zone exceeds
     * the lowest one in the other zones by at most this; at twice this gap all requests spill over.
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

    /** Draws whether the next request stays in the home zone; always true if the other zones have no servers. */
    boolean staysInHomeZone() {
        double homeProbability = Math.min(Math.min(byUsableRating(), byOverloadedFraction()), byUtilizationGap());
        return homeProbability >= 1 || endpoints.otherZoneServers.length == 0 || context.uniform() < homeProbability;
    }

    /**
     * Probability of staying by usable rating. The usable rating is the sum of the ratings of the ready servers that
     * {@link OutlierDetector#isSelectable} permits, each multiplied by the slow-start fraction of the server.
     */
    private double byUsableRating() {
        double usableRating = 0;
        for (ServerState server : endpoints.homeZoneServers) {
            usableRating += server.isReady() && server.outlierDetector.isSelectable()
                    ? server.rating * server.slowStartFraction(context)
                    : 0;
        }
        return endpoints.readyHomeZoneRating <= 0
                ? 0
                : usableRating / (endpoints.readyHomeZoneRating * USABLE_RATING_THRESHOLD);
    }

    /**
     * Probability of staying by overload: requests spill over in proportion to the overloaded fraction of the home zone
     * beyond the tolerated one, and to the fraction of the other zones that is not overloaded.
     */
    private double byOverloadedFraction() {
        return 1
                - Math.max(0, overloadDetector.overloadedHomeZoneFraction() - TOLERATED_OVERLOADED_FRACTION)
                        * (1 - overloadDetector.overloadedOtherZonesFraction());
    }

    private double byUtilizationGap() {
        return 1
                - (headroom.lowestUtilization(endpoints.homeZoneServers)
                                - headroom.lowestUtilization(endpoints.otherZoneServers)
                                - UTILIZATION_GAP)
                        / UTILIZATION_GAP;
    }
}
