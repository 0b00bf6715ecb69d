package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;

/**
 * How much room servers have, as far as it shows from here: by the delay of their messages where it is told,
 * by what stands there of what an operator stated, and by the evidence of their estimates. One thread; O(1).
 */
final class ServerHeadroom {
    private final BalancerContext context;
    private boolean delaysReported;

    ServerHeadroom(BalancerContext context) {
        this.context = context;
    }

    /** Part of a server's weight left by the evidence; 0 while its messages take too long. */
    double weightFactor(ServerState server) {
        return weightByDelayOrUtilization(server) * HeadroomWeight.byOccupancy(server.estimate.occupancy());
    }

    /** The same by its delay and its use alone. */
    private double weightByDelayOrUtilization(ServerState server) {
        boolean fresh = context.nowMicros() - server.delayReportedAtMicros <= context.updateIntervalMicros() * 2;
        if (fresh
                && HeadroomWeight.isInformative(
                        server.messageDelayMicros, context.shortestMessageLatencyObjectiveMicros())) {
            return HeadroomWeight.byDelay(server.messageDelayMicros, context.shortestMessageLatencyObjectiveMicros());
        }
        return HeadroomWeight.byUtilization(utilization(server), context.capacity.loadsKnown());
    }

    /** How much of a server what stands there from here uses, by told loads or a guess; others may add. */
    double utilization(ServerState server) {
        return delaysReported
                ? 0
                : server.estimate.utilization(
                        context.settings().sharedGroups() ? server.connectionsByGroup.size() : 0,
                        server.slowStartFraction(context));
    }

    /** Late by nothing but what stands there from here. */
    boolean isLocallyFull(ServerState server) {
        return utilization(server) >= HeadroomWeight.CLOSED_UTILIZATION
                && context.capacity.loadsKnown()
                && !server.isEjected(context);
    }

    boolean isOverloaded(ServerState server) {
        return server.isEjected(context) || weightByDelayOrUtilization(server) <= 0;
    }

    double lowestUtilization(ServerState[] candidates) {
        double lowest = 1;
        for (ServerState server : candidates) {
            lowest = server.isReady() && server.isSelectable(context) ? Math.min(lowest, utilization(server)) : lowest;
        }
        return lowest;
    }

    void onDelayReported(ServerState server, double delayMicros) {
        delaysReported = true;
        server.messageDelayMicros = delayMicros;
        server.delayReportedAtMicros = context.nowMicros();
    }

    /** A connection stands at its server from now on, with this load; 0 where that is not known. */
    void onEstablished(TrackedRequest request, double load) {
        request.server.established.put(request.event.requestId(), request);
        request.assumedLoad = Math.max(0, load);
        context.capacity.onEstablished(request.reportedLoad);
        request.server.estimate.onEstablished(request.assumedLoad, context.nowMicros(), context.uniform());
        if (request.event.group() != null) {
            request.server.connectionsByGroup.merge(request.event.group(), 1, Integer::sum);
        }
    }

    void onLoadReported(TrackedRequest request, double load) {
        request.server.estimate.onLoadChanged(request.assumedLoad, load);
        context.capacity.onLoadReported(request.reportedLoad, load);
        request.reportedLoad = load;
        request.assumedLoad = load;
    }

    /** A connection stands no longer; nothing happens to one that did not. */
    void onClosed(TrackedRequest request) {
        if (request.server != null && request.server.established.remove(request.event.requestId()) != null) {
            request.server.estimate.onClosed(request.assumedLoad);
            context.capacity.onClosed();
            if (request.event.group() != null) {
                request.server.connectionsByGroup.computeIfPresent(
                        request.event.group(), (g, n) -> n > 1 ? n - 1 : null);
            }
        }
    }
}
