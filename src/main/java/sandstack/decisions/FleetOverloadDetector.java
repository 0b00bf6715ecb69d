package sandstack.decisions;

import sandstack.capacity.OverloadCount;

/**
 * Determines which fraction of the servers is overloaded, in the home zone and in the other zones, among the ready
 * servers that this relay observes, see {@link OverloadCount}. Input of {@link SpilloverPolicy}, {@link GroupPlacement}
 * and {@link LoadShedder}. Confined to the thread of the load balancer. An update costs O(servers).
 */
final class FleetOverloadDetector {
    /**
     * Minimum number of observed servers that are evidence for the home zone; a single one may be overloaded by chance.
     */
    private static final int MIN_OBSERVED_HOME_ZONE = 2;
    /** Minimum number of observed servers that are evidence for the other zones, to which few connections go. */
    private static final int MIN_OBSERVED_OTHER_ZONES = 1;

    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private double overloadedHomeZoneFraction;
    private double overloadedOtherZonesFraction;

    FleetOverloadDetector(EndpointTable endpoints, ServerHeadroom headroom) {
        this.endpoints = endpoints;
        this.headroom = headroom;
    }

    /** Moving average of the overloaded fraction of the observed servers of the home zone. */
    double overloadedHomeZoneFraction() {
        return overloadedHomeZoneFraction;
    }

    /** Moving average of the overloaded fraction of the observed servers of the other zones. */
    double overloadedOtherZonesFraction() {
        return overloadedOtherZonesFraction;
    }

    /** Updates the fractions; returns whether most of the observed fleet is overloaded now. */
    boolean update() {
        OverloadCount otherZones = countOverloaded(endpoints.otherZoneServers);
        OverloadCount homeZone = countOverloaded(endpoints.homeZoneServers);
        overloadedHomeZoneFraction =
                homeZone.smoothedOverloadedFraction(overloadedHomeZoneFraction, MIN_OBSERVED_HOME_ZONE);
        overloadedOtherZonesFraction =
                otherZones.smoothedOverloadedFraction(overloadedOtherZonesFraction, MIN_OBSERVED_OTHER_ZONES);
        return OverloadCount.isFleetOverloaded(homeZone, otherZones);
    }

    private OverloadCount countOverloaded(ServerState[] servers) {
        OverloadCount count = new OverloadCount();
        for (ServerState server : servers) {
            if (server.isReady()) {
                count.add(headroom.isOverloaded(server), headroom.isLocallyFull(server), !server.established.isEmpty());
            }
        }
        return count;
    }
}
