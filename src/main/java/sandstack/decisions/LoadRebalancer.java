package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;
import sandstack.decisions.BalancerAction.Migrate;

/**
 * Migrates a heavy connection from the most to the least utilized server, one with each periodic update: a few heavy
 * connections make most of a server's load, and placement cannot foresee them. One thread; O(servers, and connections
 * of one server).
 */
final class LoadRebalancer {
    /** Smallest gap in utilization that is narrowed: where {@link SpilloverPolicy} spills all requests over. */
    private static final double MIN_UTILIZATION_GAP = 2 * SpilloverPolicy.UTILIZATION_GAP;
    /** A connection must have been up for so many update intervals, so that it is not migrated again and again. */
    private static final int SETTLED_UPDATE_INTERVALS = 2;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;

    LoadRebalancer(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
    }

    /** Migrates the heaviest connection that narrows a large gap between a nearly full server and the idlest one. */
    void update() {
        ServerState busiest = null;
        ServerState idlest = null;
        for (ServerState server : endpoints.all()) {
            if (!isEligible(server)) {
                continue;
            }
            double utilization = headroom.utilization(server);
            busiest = busiest == null || utilization > headroom.utilization(busiest) ? server : busiest;
            idlest = idlest == null || utilization < headroom.utilization(idlest) ? server : idlest;
        }
        if (busiest == null) {
            return;
        }
        double gap = headroom.utilization(busiest) - headroom.utilization(idlest);
        if (gap < MIN_UTILIZATION_GAP || headroom.utilization(busiest) < HeadroomWeight.MIN_WEIGHT_UTILIZATION) {
            return;
        }
        TrackedRequest heaviest = heaviestConnection(busiest, idlest.estimate.loadForUtilization(gap / 2));
        if (heaviest != null) {
            context.addAction(new Migrate(heaviest.event.requestId()));
        }
    }

    private boolean isEligible(ServerState server) {
        return server.isReady() && server.outlierDetector.isSelectable() && server.slowStartFraction(context) >= 1;
    }

    /** The heaviest settled connection above the cost of a group and up to this load; null where there is none. */
    private TrackedRequest heaviestConnection(ServerState server, double maxLoad) {
        TrackedRequest heaviest = null;
        double heaviestLoad = context.capacity.groupOverheadLoad();
        for (TrackedRequest request : server.established.values()) {
            if (isSettled(request) && request.reportedLoad > heaviestLoad && request.reportedLoad <= maxLoad) {
                heaviest = request;
                heaviestLoad = request.reportedLoad;
            }
        }
        return heaviest;
    }

    private boolean isSettled(TrackedRequest request) {
        return context.nowMicros() - request.establishedAtMicros()
                > SETTLED_UPDATE_INTERVALS * context.updateIntervalMicros();
    }
}
