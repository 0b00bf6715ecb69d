package sandstack.decisions;

import sandstack.decisions.BalancerAction.Migrate;

/**
 * Migrates the connections of a server that is draining or gone from the endpoint list, since the server might not
 * close them itself. Each connection migrates at a time drawn at random, so that their clients do not reconnect all at
 * once. Confined to the thread of the load balancer. Calls cost up to O(connections of the server).
 */
final class DrainMigration {
    /**
     * Exponent of the interval of the migrations, which is 2^6 slots: 4 times the shortest set-up latency objective.
     */
    private static final int INTERVAL_EXPONENT = 6;

    private final BalancerContext context;

    DrainMigration(BalancerContext context) {
        this.context = context;
    }

    /** Schedules the migration of the connections of a server that was ready and starts draining. */
    void onDraining(ServerState server) {
        long intervalMicros = context.slotMicros() << INTERVAL_EXPONENT;
        for (TrackedRequest request : server.established.values()) {
            long delayMicros = 1 + (long) (context.uniform() * intervalMicros);
            context.scheduleTimer(request, context.nowMicros() + delayMicros);
        }
    }

    /** Migrates an established connection whose drawn time has come; called only if its server is still not ready. */
    void migrate(TrackedRequest request) {
        context.addAction(new Migrate(request.event.requestId()));
    }
}
