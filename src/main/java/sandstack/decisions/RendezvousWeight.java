package sandstack.decisions;

import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * Scores servers by weighted rendezvous hashing (highest random weight): each server gets log(u) / weight, where u in
 * (0, 1] is a hash of the request's seed and the server, and the highest score wins. A server is chosen in proportion
 * to its weight, and where a server is lost only its own requests move. One thread; O(1).
 */
final class RendezvousWeight {
    /** Weight factor of a server of the home zone where a choice is over all zones. */
    private static final double HOME_ZONE_WEIGHT = 2;
    /** A group's server at utilization 1 is as far behind as if its weight were divided by one more than this. */
    private static final double GROUP_UTILIZATION_PENALTY = 3;
    /** Puts a server without headroom behind all others: there the request is a trial that may be rejected. */
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
     * The score of a server for a request; at most 0, and the highest wins.
     *
     * @param headroomWeight weight factor left by the server's load, above 0
     * @param seed hash of the request's group and place, or a random number where it has no group
     */
    double score(TrackedRequest request, ServerState server, double headroomWeight, long seed) {
        double score = weightedScore(request, server, headroomWeight, seed);
        return server.estimate.hasHeadroom() ? score : score - NO_HEADROOM_PENALTY;
    }

    private double weightedScore(TrackedRequest request, ServerState server, double headroomWeight, long seed) {
        double score = Math.log(SeededRandom.toUnitInterval(SeededRandom.mix(seed ^ server.hash)));
        score /= server.rating
                * SlowStartBudget.selectionWeight(server.slowStartFraction(context))
                * (endpoints.isHome(server) ? HOME_ZONE_WEIGHT : 1);
        double relativeLoad = relativeLoad(server);
        if (request.event.group() == null) {
            return score / headroomWeight * (1 + relativeLoad);
        }
        score /= headroomWeight * groups.affinityWeight(request.event.group(), server, relativeLoad);
        return score * (1 + GROUP_UTILIZATION_PENALTY * headroom.utilization(server));
    }

    /**
     * This instance's load on a server of mean rating, in mean connections. Counted by load where that is known, so
     * that two heavy connections go to different servers.
     */
    private double relativeLoad(ServerState server) {
        double connections = context.capacity.loadsKnown()
                ? server.estimate.establishedLoad() / context.capacity.meanLoad()
                : server.established.size();
        return connections * (endpoints.meanHomeRating / server.rating);
    }
}
