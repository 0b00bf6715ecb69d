package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;

/**
 * Picks the server for a request: {@link SpilloverPolicy} or {@link GroupPlacement} choose the zones,
 * {@link CandidateFilter} excludes servers, {@link RendezvousWeight} ranks the others and {@link SlowStartAdmission}
 * has the last word on one that would win. One thread; a pick costs O(servers of the zones that it looks at).
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

    /** The server for this request; null where none can take it, see {@link #candidateSummary}. */
    ServerState pick(TrackedRequest request) {
        boolean grouped = request.event.group() != null;
        long seed = grouped ? groups.placeHash(request) : context.nextRandom();
        filter.reset();
        ServerState best = null;
        if (grouped && groups.shouldConsolidate()) {
            best = pickAmong(request, endpoints.listedServers, seed);
        } else if (spillover.staysHome()) {
            best = pickAmong(request, endpoints.homeServers, seed);
        }
        if (best == null || !filter.admitsClassOf(request)) {
            ServerState awayServer = pickAmong(request, endpoints.awayServers, seed);
            best = awayServer != null ? awayServer : best;
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
            // last, since each check may use up some of the slow-start budget
            if (score > bestScore && slowStart.admits(request, server)) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    /** The servers that the latest pick has seen. */
    CandidateSummary candidateSummary() {
        return filter.summary();
    }
}
