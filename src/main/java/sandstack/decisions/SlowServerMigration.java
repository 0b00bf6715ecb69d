package sandstack.decisions;

import java.util.List;
import sandstack.capacity.HeadroomWeight;
import sandstack.decisions.BalancerAction.Migrate;

/**
 * Migrates connections off a server that is overloaded or whose messages are slow. As for retries, each connection
 * draws a time within an interval of 2^n slots and migrates if the server is still slow then; the next, longer interval
 * starts where this one ends. Confined to the thread of the load balancer. Calls cost up to O(connections of the
 * server).
 */
final class SlowServerMigration {
    /** The first interval is as long as the longest backoff interval of retries. */
    private static final int MIN_INTERVAL_EXPONENT = RetryBackoff.MAX_EXPONENT;
    /** Number of intervals after which their length no longer grows. */
    private static final int MAX_INTERVALS = 4;
    /** Draw of a connection that has none in the current interval or has already used it. */
    static final double NO_DRAW = -1;

    /** Current migration interval of one server. */
    static final class Interval {
        /** Number of this interval since the last reset, from 1; 0 if there is none. */
        private int number;

        private long startMicros;
        private long endMicros;

        private void reset() {
            number = 0;
            endMicros = 0;
        }
    }

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;

    SlowServerMigration(
            BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, LoadShedder shedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.shedder = shedder;
    }

    /** Records a reported message delay, and migrates connections while the delay misses the objective. */
    void onDelayReported(ServerState server, double delayMicros) {
        boolean recovering = isRecovering(server, delayMicros);
        headroom.onDelayReported(server, delayMicros);
        if (delayMicros < context.shortestMessageLatencyObjectiveMicros()) {
            server.migrationInterval.reset();
            return;
        }
        server.lastSlowAtMicros = context.nowMicros();
        if (!recovering) {
            migrateFrom(server);
        }
    }

    /**
     * Whether the delay falls so fast that it meets the objective when extrapolated by twice the change since the
     * previous report. The server is then working off its backlog, and further migrations would empty it.
     */
    private boolean isRecovering(ServerState server, double delayMicros) {
        return 3 * delayMicros - 2 * server.messageDelayMicros < context.shortestMessageLatencyObjectiveMicros()
                && headroom.isDelayReportFresh(server);
    }

    /** Migrates connections off servers that are overloaded by the load of the connections of this relay alone. */
    void update() {
        for (ServerState server : endpoints.all()) {
            if (isOverloaded(server) && context.capacity.loadsKnown() && server.isReady()) {
                migrateFrom(server);
            }
        }
    }

    private boolean isOverloaded(ServerState server) {
        return headroom.utilization(server) >= HeadroomWeight.OVERLOADED_UTILIZATION;
    }

    private void migrateFrom(ServerState server) {
        boolean overloaded = isOverloaded(server);
        if (context.nowMicros() >= server.migrationInterval.endMicros) {
            startInterval(server);
        }
        for (TrackedRequest request : List.copyOf(server.established.values())) {
            boolean slowForRequest =
                    overloaded || server.messageDelayMicros >= request.requestClass.messageLatencyObjectiveMicros();
            // while load is shed, a client that migrates is rejected, so only clients that are to be shed migrate
            boolean migrate = shedder.isShedding()
                    ? shedder.shouldShed(request)
                    : slowForRequest && isDue(request, server.migrationInterval);
            if (migrate) {
                request.migrationDraw = NO_DRAW;
                context.addAction(new Migrate(request.event.requestId()));
            }
        }
    }

    private void startInterval(ServerState server) {
        Interval interval = server.migrationInterval;
        interval.number++;
        interval.startMicros = context.nowMicros();
        int exponent = MIN_INTERVAL_EXPONENT - 1 + Math.min(interval.number, MAX_INTERVALS);
        interval.endMicros = context.nowMicros() + (context.slotMicros() << exponent);
        for (TrackedRequest request : server.established.values()) {
            request.migrationDraw = context.uniform();
        }
    }

    private boolean isDue(TrackedRequest request, Interval interval) {
        long dueMicros =
                interval.startMicros + (long) (request.migrationDraw * (interval.endMicros - interval.startMicros));
        return request.migrationDraw >= 0 && dueMicros <= context.nowMicros();
    }
}
