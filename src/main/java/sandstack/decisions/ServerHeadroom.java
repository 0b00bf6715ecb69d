package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;

/**
 * The headroom of servers as seen by this relay. A recent report of the message delay determines it if the delay is
 * long enough to be informative; otherwise the utilization that the connections of this relay cause does. The occupancy
 * of the capacity estimate reduces it further. Confined to the thread of the load balancer. All calls are O(1) unless
 * noted.
 */
final class ServerHeadroom {
    /** Number of update intervals for which a reported message delay is used. */
    private static final int DELAY_VALIDITY_UPDATE_INTERVALS = 2;

    private final BalancerContext context;
    private boolean delaysReported;

    ServerHeadroom(BalancerContext context) {
        this.context = context;
    }

    /**
     * Factor of the selection weight of a server, in [0, 1], by its headroom; 0 while its messages are slow or it is
     * full by its utilization.
     */
    double weightFactor(ServerState server) {
        return weightByDelayOrUtilization(server) * HeadroomWeight.byOccupancy(server.estimate.occupancy());
    }

    private double weightByDelayOrUtilization(ServerState server) {
        double objectiveMicros = context.shortestMessageLatencyObjectiveMicros();
        if (isDelayReportFresh(server) && HeadroomWeight.isInformative(server.messageDelayMicros, objectiveMicros)) {
            return HeadroomWeight.byDelay(server.messageDelayMicros, objectiveMicros);
        }
        return HeadroomWeight.byUtilization(utilization(server), context.capacity.loadsKnown());
    }

    /**
     * The fraction of the capacity of a server that the connections of this relay use, by their reported loads or the
     * mean load; other relays may use more of it. It is 0 if the capacity is not stated as an upper bound, see
     * {@link CapacityEstimate#utilization}, and always 0 once any connection has reported a message delay, which is
     * better evidence.
     */
    double utilization(ServerState server) {
        return delaysReported
                ? 0
                : server.estimate.utilization(
                        context.settings().sharedGroups() ? server.connectionsByGroup.size() : 0,
                        server.slowStartFraction(context));
    }

    /** Whether a server that is not ejected is closed by the utilization that this relay causes. */
    boolean isLocallyFull(ServerState server) {
        return utilization(server) >= HeadroomWeight.CLOSED_UTILIZATION
                && context.capacity.loadsKnown()
                && !server.outlierDetector.isEjected();
    }

    /** Whether a server is ejected, slow or full by its utilization. */
    boolean isOverloaded(ServerState server) {
        return server.outlierDetector.isEjected() || weightByDelayOrUtilization(server) <= 0;
    }

    /** The lowest utilization of the servers that may be picked; 1 if there are none. Costs O(servers). */
    double lowestUtilization(ServerState[] candidates) {
        double lowest = 1;
        for (ServerState server : candidates) {
            if (server.isReady() && server.outlierDetector.isSelectable()) {
                lowest = Math.min(lowest, utilization(server));
            }
        }
        return lowest;
    }

    void onDelayReported(ServerState server, double delayMicros) {
        delaysReported = true;
        server.messageDelayMicros = delayMicros;
        server.delayReportedAtMicros = context.nowMicros();
    }

    /** Whether the last reported message delay is recent enough to be used. */
    boolean isDelayReportFresh(ServerState server) {
        return context.nowMicros() - server.delayReportedAtMicros
                <= context.updateIntervalMicros() * DELAY_VALIDITY_UPDATE_INTERVALS;
    }
}
