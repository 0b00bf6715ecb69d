package sandstack.decisions;

import sandstack.random.SeededRandom;

/**
 * Places the connections of a group. A server does the shared work of a group only once, so the connections of a group
 * prefer a server that already has some of them, up to a bound on the load of that server ("Consistent hashing with
 * bounded loads", Mirrokni 2016). Confined to the thread of the load balancer. Calls cost up to O(servers).
 */
final class GroupPlacement {
    /** Weight factor of a server that has connections of the group, relative to one that has none. */
    private static final double GROUP_AFFINITY_WEIGHT = 8;
    /**
     * Bound on the connections of a server, as a multiple of its proportional share; beyond it, a group continues on
     * the next server.
     */
    private static final double BOUNDED_LOAD_FACTOR = 1.25;
    /**
     * Number of connections added to the bound. A relay with few connections has too small a sample of the connections
     * of all relays to continue a group on another server.
     */
    private static final double BOUNDED_LOAD_ALLOWANCE = 2;
    /**
     * Weight factor of a server beyond its bound, so low that the next server in the order of the group ranks first.
     */
    private static final double OVER_BOUND_WEIGHT = 0.05;
    /**
     * Groups are consolidated over all zones while more than this fraction of the observed servers of the home zone, or
     * of the other zones, is overloaded.
     */
    private static final double CONSOLIDATION_THRESHOLD = 0.25;
    /**
     * Groups are not split into subgroups while more than this fraction of the listed servers is in slow start or
     * draining.
     */
    private static final double NO_SPLIT_THRESHOLD = 0.25;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final FleetOverloadDetector overloadDetector;

    GroupPlacement(BalancerContext context, EndpointTable endpoints, FleetOverloadDetector overloadDetector) {
        this.context = context;
        this.endpoints = endpoints;
        this.overloadDetector = overloadDetector;
    }

    /**
     * Whether a group is placed over all zones instead of in each zone. If a group is present in every zone, its shared
     * work may exceed the work of all its connections. The home zone has no capacity for that while servers are
     * overloaded, nor if relays outnumber servers and each relay sees too little of a group.
     */
    boolean shouldConsolidate() {
        return Math.max(overloadDetector.overloadedHomeZoneFraction(), overloadDetector.overloadedOtherZonesFraction())
                        > CONSOLIDATION_THRESHOLD
                || relaysOutnumberServers();
    }

    private boolean relaysOutnumberServers() {
        return context.settings().relayCount() > context.settings().zoneCount() * endpoints.homeZoneServers.length;
    }

    /** Hash that orders the servers for a request of a group: the hash of the subgroup that the client belongs to. */
    long subgroupHash(TrackedRequest request) {
        return SeededRandom.hash(request.event.group()) + subgroup(request);
    }

    /**
     * The subgroup of a client within its group: always 0 for a group that is not split, otherwise 0 or 1 by the client
     * key. If relays outnumber servers, no relay can determine the size of a group; split in two, a large group does
     * not fill one server, and the loss of a server affects only half of it. While servers are being replaced there is
     * no capacity for a second subgroup.
     */
    private long subgroup(TrackedRequest request) {
        int changingCount = 0;
        for (ServerState server : endpoints.listedServers) {
            changingCount += server.isReady() && server.slowStartFraction(context) >= 1 ? 0 : 1;
        }
        boolean unsplit =
                !relaysOutnumberServers() || changingCount > endpoints.listedServers.length * NO_SPLIT_THRESHOLD;
        return unsplit ? 0 : SeededRandom.mix(SeededRandom.hash(request.clientKey)) >>> 63;
    }

    /**
     * Weight factor of a server for the connections of a group.
     *
     * @param relativeLoad load of this relay on the server in mean connections, see {@link RendezvousWeight}
     */
    double affinityWeight(String group, ServerState server, double relativeLoad) {
        if (isOverBound(relativeLoad)) {
            return OVER_BOUND_WEIGHT;
        }
        return server.connectionsByGroup.containsKey(group) ? GROUP_AFFINITY_WEIGHT : 1;
    }

    /**
     * Whether a server exceeds its bound. The bound counts connections, so it applies only while no connection has
     * reported its load.
     */
    private boolean isOverBound(double relativeLoad) {
        double maxLoad = BOUNDED_LOAD_FACTOR * context.capacity.connectionsPerRating() * endpoints.meanHomeZoneRating
                + BOUNDED_LOAD_ALLOWANCE;
        return !context.capacity.loadsReported() && relativeLoad > maxLoad;
    }
}
