package sandstack.decisions;

import sandstack.capacity.SlowStartBudget;

/**
 * Decides whether a server in slow start, or one whose messages were slow recently, may be sent a request. Both take
 * new connections at a limited rate; {@link SlowStartBudget} holds each process of a relay to its share of that rate.
 * Confined to the thread of the load balancer. All calls are O(1).
 */
final class SlowStartAdmission {
    /** Exponent of the recovery time, which is 2^n slots: twice the longest backoff interval. */
    private static final int RECOVERY_EXPONENT = RetryBackoff.MAX_EXPONENT + 1;

    private final BalancerContext context;
    private final EndpointTable endpoints;

    SlowStartAdmission(BalancerContext context, EndpointTable endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    /**
     * Whether the request fits into the budget of the server. The check draws random numbers and may consume budget for
     * new clients, which stays consumed even if another server is picked; a permit is used up only when a request is
     * sent.
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
     * Admits requests at a rate that fills the server over its slow start. New clients arrive at a steady rate and are
     * admitted at the rate that the server can take; returning clients come in bursts and need a permit.
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
                endpoints.isInHomeZone(server),
                newClient,
                context.nowMicros(),
                context::uniform);
    }

    /** Admits requests at a rate that fills the server over its recovery; each request needs a permit. */
    private boolean admitsDuringRecovery(ServerState server, long recoveryMicros) {
        double requestsPerMicro = server.estimate.capacityInConnections() / recoveryMicros;
        double relayShare = SlowStartBudget.relayShare(
                        endpoints.isInHomeZone(server),
                        context.settings().relayCount(),
                        context.settings().zoneCount())
                / context.processCount();
        return server.slowStartBudget.hasPermit(
                requestsPerMicro * relayShare,
                context.settings().overloadWindowMicros(),
                context.nowMicros(),
                context::uniform);
    }
}
