package sandstack.decisions;

import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * Scores servers by weighted rendezvous hashing (highest random weight): the score of a server is log(u) / weight,
 * where u in (0, 1] is a hash of the seed of the request and the server, and the highest score wins. Servers are chosen
 * in proportion to their weights, and the loss of a server moves only the requests that were placed there. Confined to
 * the thread of the load balancer. All calls are O(1).
 */
final class RendezvousWeight {
    /** Weight factor of the servers of the home zone when all zones are selected. */
    private static final double HOME_ZONE_WEIGHT = 2;
    /**
     * For a request of a group, utilization 1 has the same effect as dividing the weight of the server by 1 plus this.
     */
    private static final double GROUP_UTILIZATION_PENALTY = 3;
    /**
     * Subtracted from the score of a server without headroom, so that it ranks below all others: a request there is a
     * trial that may be rejected.
     */
    private static final double NO_HEADROOM_PENALTY = 1e12;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final GroupPlacement groups;

    RendezvousWeight(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, GroupPlacement groups) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.groups = groups;
    }

    /**
     * The score of a server for a request, at most 0; the highest score wins.
     *
     * @param headroomWeight weight factor of the headroom of the server, above 0
     * @param seed hash of the group and the subgroup of the request, or a random number if it has no group
     */
    double score(TrackedRequest request, ServerState server, double headroomWeight, long seed) {
        double score = weightedScore(request, server, headroomWeight, seed);
        return server.estimate.hasHeadroom() ? score : score - NO_HEADROOM_PENALTY;
    }

    private double weightedScore(TrackedRequest request, ServerState server, double headroomWeight, long seed) {
        double score = Math.log(SeededRandom.toUnitInterval(SeededRandom.mix(seed ^ server.hash)));
        score /= server.rating
                * SlowStartBudget.selectionWeight(server.slowStartFraction(context))
                * (endpoints.isInHomeZone(server) ? HOME_ZONE_WEIGHT : 1);
        double relativeLoad = relativeLoad(server);
        if (request.event.group() == null) {
            return score / headroomWeight * (1 + relativeLoad);
        }
        score /= headroomWeight * groups.affinityWeight(request.event.group(), server, relativeLoad);
        return score * (1 + GROUP_UTILIZATION_PENALTY * headroom.utilization(server));
    }

    /**
     * The load of this relay on a server, in mean connections and relative to a server of the mean rating of the home
     * zone. Adds up loads if they are known, so that two heavy connections go to different servers; otherwise counts
     * connections.
     */
    private double relativeLoad(ServerState server) {
        double connections = context.capacity.loadsKnown()
                ? server.estimate.establishedLoad() / context.capacity.meanLoad()
                : server.established.size();
        return connections * (endpoints.meanHomeZoneRating / server.rating);
    }
}
