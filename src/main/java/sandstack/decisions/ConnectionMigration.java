package sandstack.decisions;

import java.util.List;
import sandstack.capacity.HeadroomWeight;
import sandstack.decisions.BalancerAction.Migrate;

/**
 * Which standing connections move, and when. One thread; a server's interval costs O(connections there),
 * levelling O(servers, and the connections of one).
 */
final class ConnectionMigration {
    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;

    ConnectionMigration(
            BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, LoadShedder shedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.shedder = shedder;
    }

    /** The moment of a standing connection has come. */
    void onTimer(TrackedRequest request) {
        if (!request.server.isReady()) {
            context.addAction(new Migrate(request.event.requestId()));
        } else if (request.server.consecutiveFailures > 0) {
            request.server.clearFailures();
        }
    }

    void onDelayReported(ServerState server, double delayMicros) {
        // what is piled up there already works off: moves that go on until it has would empty the server
        boolean delayFalling =
                3 * delayMicros - 2 * server.messageDelayMicros < context.shortestMessageLatencyObjectiveMicros()
                        && context.nowMicros() - server.delayReportedAtMicros <= context.updateIntervalMicros() * 2;
        headroom.onDelayReported(server, delayMicros);
        if (delayMicros < context.shortestMessageLatencyObjectiveMicros()) {
            server.migrationExponent = 0;
            server.migrationEndMicros = 0;
            return;
        }
        server.lastSlowAtMicros = context.nowMicros();
        if (!delayFalling) {
            migrateFromSlowServer(server);
        }
    }

    /** What a look at the whole moves. */
    void update() {
        for (ServerState server : endpoints.all()) {
            if (headroom.utilization(server) >= HeadroomWeight.OVERLOADED_UTILIZATION
                    && context.capacity.loadsKnown()
                    && server.isReady()) {
                migrateFromSlowServer(server);
            }
        }
        rebalance();
    }

    /**
     * Connections on a server too slow to serve them are failed placements: each draws a moment over the
     * whole interval, and moves if the server is still slow then; the next interval starts at its end.
     */
    private void migrateFromSlowServer(ServerState server) {
        boolean overloaded = headroom.utilization(server) >= HeadroomWeight.OVERLOADED_UTILIZATION;
        if (context.nowMicros() >= server.migrationEndMicros) {
            server.migrationExponent++;
            server.migrationStartMicros = context.nowMicros();
            server.migrationEndMicros = context.nowMicros()
                    + (context.slotMicros() << RetryBackoff.MAX_EXPONENT - 1 + Math.min(server.migrationExponent, 4));
            for (TrackedRequest request : server.established.values()) {
                request.migrationDraw = context.uniform();
            }
        }
        for (TrackedRequest request : List.copyOf(server.established.values())) {
            long dueMicros = server.migrationStartMicros
                    + (long) (request.migrationDraw * (server.migrationEndMicros - server.migrationStartMicros));
            boolean dueAndSlow = request.migrationDraw >= 0
                    && dueMicros <= context.nowMicros()
                    && (overloaded
                            || server.messageDelayMicros >= request.requestClass.messageLatencyObjectiveMicros());
            if (shedder.isShedding() ? shedder.shouldShed(request) : dueAndSlow) {
                request.migrationDraw = -1;
                context.addAction(new Migrate(request.event.requestId()));
            }
        }
    }

    /**
     * Few heavy connections make most of a server's load. From the one used most here, the heaviest that
     * narrows the gap to the one used least moves, one a look: it weighs more than its group costs there.
     */
    private void rebalance() {
        ServerState busiest = null;
        ServerState idlest = null;
        for (ServerState server : endpoints.all()) {
            if (server.isReady() && server.isSelectable(context) && server.slowStartFraction(context) >= 1) {
                busiest = busiest == null || headroom.utilization(server) > headroom.utilization(busiest)
                        ? server
                        : busiest;
                idlest =
                        idlest == null || headroom.utilization(server) < headroom.utilization(idlest) ? server : idlest;
            }
        }
        double gap = busiest == null ? 0 : headroom.utilization(busiest) - headroom.utilization(idlest);
        if (gap < 2 * SpilloverPolicy.UTILIZATION_GAP
                || headroom.utilization(busiest) < HeadroomWeight.NEARLY_FULL_UTILIZATION) {
            return;
        }
        double maxLoad = idlest.estimate.adaptiveLoadLimit(gap / 2);
        TrackedRequest heaviest = null;
        for (TrackedRequest request : busiest.established.values()) {
            boolean settled = context.nowMicros() - request.establishedAtMicros() > 2 * context.updateIntervalMicros();
            double minLoad = heaviest == null ? context.capacity.groupOverheadLoad() : heaviest.reportedLoad;
            if (settled && request.reportedLoad > minLoad && request.reportedLoad <= maxLoad) {
                heaviest = request;
            }
        }
        if (heaviest != null) {
            context.addAction(new Migrate(heaviest.event.requestId()));
        }
    }
}
