package sandstack.decisions;

/**
 * What the end of an attempt or of an established connection says about its server's capacity. Stateless; one thread;
 * all calls O(1).
 */
final class CapacityEvidence {
    private final BalancerContext context;

    CapacityEvidence(BalancerContext context) {
        this.context = context;
    }

    /** An attempt ended without a connection. */
    void onAttemptFailed(ServerState server, AttemptOutcome outcome) {
        server.estimate.onAttemptEnded();
        // some full servers drop the newest connection where others reject the next one
        boolean dropped = outcome == AttemptOutcome.RESET && server.estimate.establishedConnections() > 0;
        if (outcome == AttemptOutcome.REJECTED || dropped) {
            server.estimate.onRejected(context.nowMicros(), context.uniform());
        } else {
            server.estimate.onInconclusiveAttempt();
        }
    }

    /** An attempt ended whose request has ended or is at a later attempt: its outcome is not used. */
    void onStaleAttemptEnded(ServerState server) {
        server.estimate.onAttemptEnded();
        server.estimate.onInconclusiveAttempt();
    }

    /** An established connection was reset, and is not counted any more. A draining server says nothing by that. */
    void onConnectionReset(ServerState server) {
        if (server.isReady()) {
            server.estimate.onConnectionDropped(context.nowMicros(), context.uniform());
        }
    }
}
