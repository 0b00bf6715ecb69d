package sandstack.decisions;

import sandstack.capacity.OverloadCount;

/**
 * How much of the fleet is overloaded, in the home zone and elsewhere, as far as this instance has connections to
 * observe it. {@link SpilloverPolicy}, {@link GroupPlacement} and {@link LoadShedder} act on it. One thread; an update
 * costs O(servers).
 */
final class FleetOverloadDetector {
    /** The home fraction is updated only where at least so many servers are observed: one alone is chance. */
    private static final int MIN_OBSERVED_HOME = 2;
    /** Elsewhere one server is enough: few connections go there. */
    private static final int MIN_OBSERVED_AWAY = 1;

    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private double overloadedHomeFraction;
    private double overloadedAwayFraction;

    FleetOverloadDetector(EndpointTable endpoints, ServerHeadroom headroom) {
        this.endpoints = endpoints;
        this.headroom = headroom;
    }

    /** Smoothed fraction of the observed servers of the home zone that are overloaded. */
    double overloadedHomeFraction() {
        return overloadedHomeFraction;
    }

    /** Smoothed fraction of the observed servers of other zones that are overloaded. */
    double overloadedAwayFraction() {
        return overloadedAwayFraction;
    }

    /** Updates the fractions; returns whether most of the observed fleet is overloaded now. */
    boolean update() {
        OverloadCount away = countOverloaded(endpoints.awayServers);
        OverloadCount home = countOverloaded(endpoints.homeServers);
        overloadedHomeFraction = home.smoothedOverloadedFraction(overloadedHomeFraction, MIN_OBSERVED_HOME);
        overloadedAwayFraction = away.smoothedOverloadedFraction(overloadedAwayFraction, MIN_OBSERVED_AWAY);
        return OverloadCount.isFleetOverloaded(home, away);
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
