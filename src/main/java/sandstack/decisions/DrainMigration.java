package sandstack.decisions;

import sandstack.decisions.BalancerAction.Migrate;

/**
 * Migrates the connections of a server that is draining or gone from the endpoint list, which may not close them by
 * itself. Each connection draws a moment of its own, so that their clients do not reconnect all at once. One thread;
 * O(connections of the server).
 */
final class DrainMigration {
    /** The moments spread over 2^6 slots: 4 times the shortest set-up latency objective. */
    private static final int INTERVAL_EXPONENT = 6;

    private final BalancerContext context;

    DrainMigration(BalancerContext context) {
        this.context = context;
    }

    /** A ready server starts draining: schedules the migration of its connections. */
    void onDraining(ServerState server) {
        long intervalMicros = context.slotMicros() << INTERVAL_EXPONENT;
        for (TrackedRequest request : server.established.values()) {
            long delayMicros = 1 + (long) (context.uniform() * intervalMicros);
            context.scheduleTimer(request, context.nowMicros() + delayMicros);
        }
    }

    /** The moment of an established connection has come, and its server is still not ready. */
    void migrate(TrackedRequest request) {
        context.addAction(new Migrate(request.event.requestId()));
    }
}
