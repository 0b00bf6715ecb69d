package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;

/**
 * Picks the server for a request. {@link SpilloverPolicy} or {@link GroupPlacement} selects the zones,
 * {@link CandidateFilter} excludes servers, {@link RendezvousWeight} scores the others, and {@link SlowStartAdmission}
 * may still exclude a server with the best score. Confined to the thread of the load balancer. A pick costs O(servers
 * of the selected zones).
 */
final class ServerPicker {
    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final SpilloverPolicy spillover;
    private final GroupPlacement groups;
    private final CandidateFilter filter;
    private final RendezvousWeight rendezvous;
    private final SlowStartAdmission slowStart;

    ServerPicker(
            BalancerContext context,
            EndpointTable endpoints,
            ServerHeadroom headroom,
            FleetOverloadDetector overloadDetector) {
        this.context = context;
        this.endpoints = endpoints;
        spillover = new SpilloverPolicy(context, endpoints, headroom, overloadDetector);
        groups = new GroupPlacement(context, endpoints, overloadDetector);
        filter = new CandidateFilter(context, headroom);
        rendezvous = new RendezvousWeight(context, endpoints, headroom, groups);
        slowStart = new SlowStartAdmission(context, endpoints);
    }

    void setClasses(List<RequestClass> classes) {
        filter.setClasses(classes);
    }

    /** Picks the server for a request; null if none can take it, and {@link #candidateSummary} then has the reason. */
    ServerState pick(TrackedRequest request) {
        boolean grouped = request.event.group() != null;
        long seed = grouped ? groups.subgroupHash(request) : context.nextRandom();
        filter.reset();
        ServerState best = null;
        if (grouped && groups.shouldConsolidate()) {
            best = pickAmong(request, endpoints.listedServers, seed);
        } else if (spillover.staysInHomeZone()) {
            best = pickAmong(request, endpoints.homeZoneServers, seed);
        }
        // other zones are also examined if the free capacity found so far is reserved for other classes
        if (best == null || !filter.admitsClassOf(request)) {
            ServerState otherZoneServer = pickAmong(request, endpoints.otherZoneServers, seed);
            best = otherZoneServer != null ? otherZoneServer : best;
        }
        return filter.admitsClassOf(request) ? best : null;
    }

    private ServerState pickAmong(TrackedRequest request, ServerState[] candidates, long seed) {
        ServerState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (ServerState server : candidates) {
            double headroomWeight = filter.weight(request, server);
            if (headroomWeight <= CandidateFilter.EXCLUDED) {
                continue;
            }
            double score = rendezvous.score(request, server, headroomWeight, seed);
            // checked last, since each check may consume slow-start budget
            if (score > bestScore && slowStart.admits(request, server)) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    /** Summary of the servers that the latest pick examined. */
    CandidateSummary candidateSummary() {
        return filter.summary();
    }
}
