package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;

/**
 * How much headroom servers have as seen from this instance: by the delay of their messages where it is reported, else
 * by the utilization that this instance's connections cause, and by the evidence of their capacity estimates. One
 * thread; all calls O(1) unless noted.
 */
final class ServerHeadroom {
    /** A report of the message delay is used for so many update intervals. */
    private static final int DELAY_VALIDITY_UPDATE_INTERVALS = 2;

    private final BalancerContext context;
    private boolean delaysReported;

    ServerHeadroom(BalancerContext context) {
        this.context = context;
    }

    /** The part of a server's weight that its load leaves it, in [0, 1]; 0 while its messages are slow. */
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
     * The fraction of a server's capacity that this instance's connections use, by reported or mean loads; other
     * instances may add to it. 0 where delays are reported, which say more.
     */
    double utilization(ServerState server) {
        return delaysReported
                ? 0
                : server.estimate.utilization(
                        context.settings().sharedGroups() ? server.connectionsByGroup.size() : 0,
                        server.slowStartFraction(context));
    }

    /** Whether a server is closed by nothing but the utilization that this instance causes. */
    boolean isLocallyFull(ServerState server) {
        return utilization(server) >= HeadroomWeight.CLOSED_UTILIZATION
                && context.capacity.loadsKnown()
                && !server.outlierDetector.isEjected();
    }

    /** Whether a server is ejected, slow or full. */
    boolean isOverloaded(ServerState server) {
        return server.outlierDetector.isEjected() || weightByDelayOrUtilization(server) <= 0;
    }

    /** The lowest utilization of the servers that may be picked; 1 where there are none. Costs O(servers). */
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

    /** Whether the last report of the message delay is recent enough to be used. */
    boolean isDelayReportFresh(ServerState server) {
        return context.nowMicros() - server.delayReportedAtMicros
                <= context.updateIntervalMicros() * DELAY_VALIDITY_UPDATE_INTERVALS;
    }
}
