package sandstack.decisions;

/**
 * Derives evidence of the capacity of a server from the end of an attempt or of an established connection. Stateless;
 * all calls are O(1).
 */
final class CapacityEvidence {
    private final BalancerContext context;

    CapacityEvidence(BalancerContext context) {
        this.context = context;
    }

    /** An attempt ended without a connection. */
    void onAttemptFailed(ServerState server, AttemptOutcome outcome) {
        server.estimate.onAttemptEnded();
        // a full server may drop its newest connection instead of rejecting the next one
        boolean dropped = outcome == AttemptOutcome.RESET && server.estimate.establishedConnections() > 0;
        if (outcome == AttemptOutcome.REJECTED || dropped) {
            server.estimate.onRejected(context.nowMicros(), context.uniform());
        } else {
            server.estimate.onInconclusiveAttempt();
        }
    }

    /** An attempt ended after its request had ended or started a later attempt; the outcome is not used. */
    void onStaleAttemptEnded(ServerState server) {
        server.estimate.onAttemptEnded();
        server.estimate.onInconclusiveAttempt();
    }

    /**
     * An established connection was reset. Called after {@link ConnectionTracker#onClosed}. A reset by a draining
     * server is no evidence of its capacity.
     */
    void onConnectionReset(ServerState server) {
        if (server.isReady()) {
            server.estimate.onConnectionDropped(context.nowMicros(), context.uniform());
        }
    }
}
