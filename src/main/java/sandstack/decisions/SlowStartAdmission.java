package sandstack.decisions;

import sandstack.capacity.SlowStartBudget;

/**
 * Whether a server in slow start, or one whose messages were slow a moment ago, may be sent a request. Both take new
 * connections at a limited rate, of which this instance has its part; {@link SlowStartBudget} counts it. One thread;
 * O(1).
 */
final class SlowStartAdmission {
    /** A server recovers over an interval of 2^n slots: twice the longest back-off interval. */
    private static final int RECOVERY_EXPONENT = RetryBackoff.MAX_EXPONENT + 1;

    private final BalancerContext context;
    private final EndpointTable endpoints;

    SlowStartAdmission(BalancerContext context, EndpointTable endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    /**
     * Whether the request fits into the server's budget. Draws at random, and what is drawn is used up even where
     * another server is picked in the end.
     */
    boolean admits(TrackedRequest request, ServerState server) {
        double slowStartFraction = server.slowStartFraction(context);
        if (slowStartFraction < 1) {
            return admitsDuringSlowStart(request, server, slowStartFraction);
        }
        long recoveryMicros = context.slotMicros() << RECOVERY_EXPONENT;
        return context.nowMicros() - server.lastSlowAtMicros > recoveryMicros
                || admitsDuringRecovery(server, recoveryMicros);
    }

    /**
     * The server may fill up over its slow start. New clients arrive at a steady rate and are admitted at the rate the
     * server can take; returning clients come in bursts and need a permit.
     */
    private boolean admitsDuringSlowStart(TrackedRequest request, ServerState server, double slowStartFraction) {
        double requestsPerMicro = server.estimate.capacityInConnections()
                * slowStartFraction
                / context.settings().slowStartDurationMicros();
        boolean newClient = !request.event.reconnecting() && request.isFirstAttempt();
        return server.slowStartBudget.admitsDuringSlowStart(
                context.slowStartRule(),
                context.processCount(),
                requestsPerMicro,
                endpoints.isHome(server),
                newClient,
                context.nowMicros(),
                context::uniform);
    }

    /** The server may fill up over its recovery; every request needs a permit. */
    private boolean admitsDuringRecovery(ServerState server, long recoveryMicros) {
        double requestsPerMicro = server.estimate.capacityInConnections() / recoveryMicros;
        double relayShare = SlowStartBudget.relayShare(
                        endpoints.isHome(server),
                        context.settings().instanceCount(),
                        context.settings().zoneCount())
                / context.processCount();
        return server.slowStartBudget.hasPermit(
                requestsPerMicro * relayShare,
                context.settings().overloadWindowMicros(),
                context.nowMicros(),
                context::uniform);
    }
}
