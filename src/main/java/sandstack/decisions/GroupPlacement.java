package sandstack.decisions;

import sandstack.random.SeededRandom;

/**
 * Where the connections of one group go. A server pays for the shared work of a group once, so its connections prefer a
 * server that has some of them already, up to a bound on its load ("Consistent hashing with bounded loads", Mirrokni
 * 2016). One thread; O(servers).
 */
final class GroupPlacement {
    /** Weight factor of a server that has connections of the group, against one that has none. */
    private static final double GROUP_AFFINITY_WEIGHT = 8;
    /** A server may hold this multiple of its even part of the connections before a group moves on. */
    private static final double BOUNDED_LOAD_FACTOR = 1.25;
    /** Connections allowed on top: an instance with few connections sees too little of the others' to split a group. */
    private static final double BOUNDED_LOAD_ALLOWANCE = 2;
    /** Weight factor of a server beyond its bound: the next server of the group's order goes first. */
    private static final double OVER_BOUND_WEIGHT = 0.05;
    /** Groups are consolidated over all zones while more than this fraction of the observed servers is overloaded. */
    private static final double CONSOLIDATION_THRESHOLD = 0.25;
    /** A group has one place while more than this fraction of the listed servers is in slow start or draining. */
    private static final double SINGLE_PLACE_THRESHOLD = 0.25;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final FleetOverloadDetector overloadDetector;

    GroupPlacement(BalancerContext context, EndpointTable endpoints, FleetOverloadDetector overloadDetector) {
        this.context = context;
        this.endpoints = endpoints;
        this.overloadDetector = overloadDetector;
    }

    /**
     * Whether a group is placed over all zones rather than in each. A group present in every zone may cost more than
     * all of its connections, which the home zone cannot bear while servers are overloaded, or where instances
     * outnumber servers and each sees too little of a group.
     */
    boolean shouldConsolidate() {
        return Math.max(overloadDetector.overloadedHomeFraction(), overloadDetector.overloadedAwayFraction())
                        > CONSOLIDATION_THRESHOLD
                || instancesOutnumberServers();
    }

    private boolean instancesOutnumberServers() {
        return context.settings().instanceCount() > context.settings().zoneCount() * endpoints.homeServers.length;
    }

    /** Hash that orders the servers for a request of a group: that of the group's place that the client belongs to. */
    long placeHash(TrackedRequest request) {
        return SeededRandom.hash(request.event.group()) + place(request);
    }

    /**
     * The place of a client among those of its group: 0, or 0 or 1 by its key. Where instances outnumber servers, no
     * instance can know how large a group is; with two places a large group does not fill one server, and losing a
     * server costs it half. While servers are being replaced there is no capacity for the second place.
     */
    private long place(TrackedRequest request) {
        int changingCount = 0;
        for (ServerState server : endpoints.listedServers) {
            changingCount += server.isReady() && server.slowStartFraction(context) >= 1 ? 0 : 1;
        }
        boolean singlePlace =
                !instancesOutnumberServers() || changingCount > endpoints.listedServers.length * SINGLE_PLACE_THRESHOLD;
        return singlePlace ? 0 : SeededRandom.mix(SeededRandom.hash(request.clientKey)) >>> 63;
    }

    /**
     * Weight factor of a server for the connections of a group.
     *
     * @param relativeLoad the server's load in mean connections, see {@link RendezvousWeight}
     */
    double affinityWeight(String group, ServerState server, double relativeLoad) {
        if (isOverBound(relativeLoad)) {
            return OVER_BOUND_WEIGHT;
        }
        return server.connectionsByGroup.containsKey(group) ? GROUP_AFFINITY_WEIGHT : 1;
    }

    /** The bound counts connections, so it applies only where no connection reports its load. */
    private boolean isOverBound(double relativeLoad) {
        double maxLoad = BOUNDED_LOAD_FACTOR * context.capacity.connectionsPerRating() * endpoints.meanHomeRating
                + BOUNDED_LOAD_ALLOWANCE;
        return !context.capacity.loadsReported() && relativeLoad > maxLoad;
    }
}
