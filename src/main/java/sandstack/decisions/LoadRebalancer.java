package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;
import sandstack.decisions.BalancerAction.Migrate;

/**
 * Migrates a heavy connection off the most utilized server, one per periodic update, if the least utilized server has
 * much more headroom: a few heavy connections cause most of the load of a server, and placement cannot foresee them.
 * Confined to the thread of the load balancer. An update costs O(servers + connections of one server).
 */
final class LoadRebalancer {
    /** Smallest gap in utilization that is narrowed, at which {@link SpilloverPolicy} spills all requests over. */
    private static final double MIN_UTILIZATION_GAP = 2 * SpilloverPolicy.UTILIZATION_GAP;
    /** Number of update intervals that a connection must have been up, so that it is not migrated repeatedly. */
    private static final int SETTLED_UPDATE_INTERVALS = 2;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;

    LoadRebalancer(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
    }

    /**
     * Migrates the heaviest connection that narrows a large gap between the most and the least utilized eligible
     * server, if the former has reached {@link HeadroomWeight#MIN_WEIGHT_UTILIZATION}.
     */
    void update() {
        ServerState mostUtilized = null;
        ServerState leastUtilized = null;
        for (ServerState server : endpoints.all()) {
            if (!isEligible(server)) {
                continue;
            }
            double utilization = headroom.utilization(server);
            mostUtilized =
                    mostUtilized == null || utilization > headroom.utilization(mostUtilized) ? server : mostUtilized;
            leastUtilized =
                    leastUtilized == null || utilization < headroom.utilization(leastUtilized) ? server : leastUtilized;
        }
        if (mostUtilized == null) {
            return;
        }
        double gap = headroom.utilization(mostUtilized) - headroom.utilization(leastUtilized);
        if (gap < MIN_UTILIZATION_GAP || headroom.utilization(mostUtilized) < HeadroomWeight.MIN_WEIGHT_UTILIZATION) {
            return;
        }
        TrackedRequest heaviest = heaviestConnection(mostUtilized, leastUtilized.estimate.loadForUtilization(gap / 2));
        if (heaviest != null) {
            context.addAction(new Migrate(heaviest.event.requestId()));
        }
    }

    private boolean isEligible(ServerState server) {
        return server.isReady() && server.outlierDetector.isSelectable() && server.slowStartFraction(context) >= 1;
    }

    /**
     * The heaviest settled connection whose load is above the overhead of a group and at most {@code maxLoad}; null if
     * there is none.
     */
    private TrackedRequest heaviestConnection(ServerState server, double maxLoad) {
        TrackedRequest heaviest = null;
        double heaviestLoad = context.capacity.groupOverheadLoad();
        for (TrackedRequest request : server.established.values()) {
            if (isSettled(request) && request.knownLoad > heaviestLoad && request.knownLoad <= maxLoad) {
                heaviest = request;
                heaviestLoad = request.knownLoad;
            }
        }
        return heaviest;
    }

    private boolean isSettled(TrackedRequest request) {
        return context.nowMicros() - request.establishedAtMicros()
                > SETTLED_UPDATE_INTERVALS * context.updateIntervalMicros();
    }
}
