package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * The choice of a server: highest random weight over all that are ready and unmarked, home zone first. One
 * thread; a draw costs O(servers of the zones that it looks at).
 */
final class ServerPicker {
    /** Home zone kept while this part of its usual weight is usable. */
    private static final double SPILLOVER_THRESHOLD = 0.5;
    /** Home also keeps everything while this part of its servers, or less, is late. */
    private static final double TOLERATED_OVERLOADED_FRACTION = 0.1;
    /** What a server that holds some of the group weighs more in the draw for one of its connections. */
    private static final double GROUP_AFFINITY_WEIGHT = 8;

    private static final double UTILIZATION_PENALTY = 3;
    /** What a server may hold of its part ("Consistent hashing with bounded loads", Mirrokni, 2016). */
    private static final double BOUNDED_LOAD_FACTOR = 1.25;
    /** A relay that holds few connections sees too little of the others' to split a group for so many. */
    private static final double BOUNDED_LOAD_ALLOWANCE = 2;

    private static final double OVER_BOUND_WEIGHT = 0.05;
    /** What a server of the home zone weighs more where a draw is over all zones. */
    private static final double HOME_ZONE_WEIGHT = 2;
    /** Groups are brought together while more than this part of the servers known here is late. */
    private static final double GROUP_CONSOLIDATION_THRESHOLD = 0.25;
    /** A group has one place while more than this part of the servers known here is cold or goes. */
    private static final double SINGLE_PLACE_THRESHOLD = 0.25;

    private static final double TRIAL_PENALTY = 1e12;
    /** Home keeps everything while it is used by no more than this above others; at twice that, nothing. */
    static final double UTILIZATION_GAP = 0.15;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;
    private CandidateSummary candidateSummary;

    ServerPicker(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, LoadShedder shedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.shedder = shedder;
        setClasses(context.settings().classes());
    }

    void setClasses(List<RequestClass> classes) {
        candidateSummary = new CandidateSummary(
                classes.stream().mapToDouble(RequestClass::priorityWeight).toArray());
    }

    /**
     * Whether a server that is cold, or was late a moment ago, may have this request. Who comes for the first
     * time comes steadily: as much as it can take. Who comes back does so with others, and needs a permit.
     */
    private boolean isWithinStartBudget(TrackedRequest request, ServerState server) {
        double slowStartFraction = server.slowStartFraction(context);
        long recoveryMicros = context.slotMicros() << RetryBackoff.MAX_EXPONENT + 1;
        if (slowStartFraction >= 1 && context.nowMicros() - server.lastSlowAtMicros > recoveryMicros) {
            return true;
        }
        double requestsPerMicro = server.estimate.capacityInConnections()
                * slowStartFraction
                / (slowStartFraction < 1 ? context.settings().slowStartDurationMicros() : recoveryMicros);
        if (slowStartFraction < 1) {
            boolean newClient = !request.event.reconnecting() && request.isFirstAttempt();
            return server.slowStartBudget.admitsDuringSlowStart(
                    context.slowStartRule(),
                    context.processCount(),
                    requestsPerMicro,
                    endpoints.isHome(server),
                    newClient,
                    context.nowMicros(),
                    context::uniform);
        }
        double relayShare = SlowStartBudget.relayShare(
                        endpoints.isHome(server),
                        context.settings().instanceCount(),
                        context.settings().zoneCount())
                / context.processCount();
        return server.slowStartBudget.hasPermit(
                requestsPerMicro * relayShare,
                context.settings().overloadWindowMicros(),
                context.nowMicros(),
                context::uniform);
    }

    /**
     * A group that stands in every zone may cost more there than all of its connections. Home comes first
     * while it can bear that: not where servers are late, nor where relays outnumber them and see too little.
     */
    private boolean shouldConsolidateGroups() {
        return Math.max(shedder.overloadedHomeFraction(), shedder.overloadedAwayFraction())
                        > GROUP_CONSOLIDATION_THRESHOLD
                || relaysOutnumberServers();
    }

    private boolean relaysOutnumberServers() {
        return context.settings().instanceCount() > context.settings().zoneCount() * endpoints.homeServers.length;
    }

    /**
     * Which of its group's places a request goes to, by its client's key. A large group fills a server alone,
     * and no relay of many can know its size: over two places it is served whole, and what takes one takes
     * half. Each is paid for like some connections: while servers are replaced there is no room for a second.
     */
    private long groupPlace(TrackedRequest request) {
        int changingCount = 0;
        for (ServerState server : endpoints.listedServers) {
            changingCount += server.isReady() && server.slowStartFraction(context) >= 1 ? 0 : 1;
        }
        boolean singlePlace =
                !relaysOutnumberServers() || changingCount > endpoints.listedServers.length * SINGLE_PLACE_THRESHOLD;
        return singlePlace ? 0 : SeededRandom.mix(SeededRandom.hash(request.clientKey)) >>> 63;
    }

    /** The server for this request. Null where none can take it. */
    ServerState pick(TrackedRequest request) {
        long seed = request.event.group() == null
                ? context.nextRandom()
                : SeededRandom.hash(request.event.group()) + groupPlace(request);
        candidateSummary.reset();
        double usableHomeRating = 0;
        for (ServerState server : endpoints.homeServers) {
            usableHomeRating += server.isReady() && server.isSelectable(context)
                    ? server.rating * server.slowStartFraction(context)
                    : 0;
        }
        ServerState best = null;
        // spilled: what the zone has lost of its usual weight beyond the threshold, and a part as large as
        // the share of its servers that are late, unless those elsewhere are late too
        double homeProbability = endpoints.readyHomeRating <= 0
                ? 0
                : usableHomeRating / (endpoints.readyHomeRating * SPILLOVER_THRESHOLD);
        homeProbability = Math.min(
                homeProbability,
                1
                        - Math.max(0, shedder.overloadedHomeFraction() - TOLERATED_OVERLOADED_FRACTION)
                                * (1 - shedder.overloadedAwayFraction()));
        // and what the least used elsewhere is used less than the least used at home
        homeProbability = Math.min(
                homeProbability,
                1
                        - (headroom.lowestUtilization(endpoints.homeServers)
                                        - headroom.lowestUtilization(endpoints.awayServers)
                                        - UTILIZATION_GAP)
                                / UTILIZATION_GAP);
        // a site of one zone has nowhere to spill to: who was spilled all the same waited in vain
        if (request.event.group() != null && shouldConsolidateGroups()) {
            best = pickAmong(request, endpoints.listedServers, seed);
        } else if (homeProbability >= 1 || endpoints.awayServers.length == 0 || context.uniform() < homeProbability) {
            best = pickAmong(request, endpoints.homeServers, seed);
        }
        if (best == null || !candidateSummary.admits(request.event.classIndex())) {
            ServerState awayServer = pickAmong(request, endpoints.awayServers, seed);
            best = awayServer != null ? awayServer : best;
        }
        return candidateSummary.admits(request.event.classIndex()) ? best : null;
    }

    private ServerState pickAmong(TrackedRequest request, ServerState[] candidates, long seed) {
        ServerState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (ServerState server : candidates) {
            if (!server.isReady()
                    || request.hadErrorAt(server)
                    || !DuplicateExecutionGuard.allowsServer(request, server)
                    || !server.isSelectable(context)) {
                continue;
            }
            boolean limitReached = InstallationLimits.isReached(
                            context.limits.maxServerConnections(), server.estimate.connectionsAndAttempts())
                    || !server.setupLimiter.hasToken(context.nowMicros());
            if (!candidateSummary.add(server.estimate, limitReached, context.nowMicros())) {
                continue;
            }
            // no fallback to servers whose messages are late: what is added there serves nobody, and where
            // all are late, holding and refusing is what lets them recover
            double headroomWeight = this.headroom.weightFactor(server);
            if (headroomWeight <= 0) {
                continue;
            }
            // a trial may be turned away: only where nothing else here has room
            double score =
                    score(request, server, headroomWeight, seed) - (server.estimate.hasHeadroom() ? 0 : TRIAL_PENALTY);
            if (score > bestScore && isWithinStartBudget(request, server)) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    /** What the last choice saw. */
    CandidateSummary candidateSummary() {
        return candidateSummary;
    }

    private double score(TrackedRequest request, ServerState server, double headroomWeight, long seed) {
        double score = Math.log(SeededRandom.unit(SeededRandom.mix(seed ^ server.hash)));
        score /= server.rating
                * SlowStartBudget.selectionWeight(server.slowStartFraction(context))
                * (endpoints.isHome(server) ? HOME_ZONE_WEIGHT : 1);
        // its own load here counts in mean connections: two heavy ones of one balancer part ways
        double relativeLoad = context.capacity.loadsKnown()
                ? server.estimate.establishedLoad() / context.capacity.meanLoad()
                : server.established.size();
        relativeLoad *= endpoints.meanHomeRating / server.rating;
        if (request.event.group() == null) {
            return score / headroomWeight * (1 + relativeLoad);
        }
        // where no loads are told, one that holds more than its part lets the next go to the place behind it
        double maxLoad = BOUNDED_LOAD_FACTOR * context.capacity.connectionsPerRating() * endpoints.meanHomeRating
                + BOUNDED_LOAD_ALLOWANCE;
        boolean overBound = !context.capacity.loadsReported() && relativeLoad > maxLoad;
        // where the group already stands it is paid for: before any other server
        score /= headroomWeight
                * (overBound
                        ? OVER_BOUND_WEIGHT
                        : server.connectionsByGroup.containsKey(request.event.group()) ? GROUP_AFFINITY_WEIGHT : 1);
        return score * (1 + UTILIZATION_PENALTY * this.headroom.utilization(server));
    }
}
