package sandstack.decisions;

/**
 * Keeps one request from taking effect twice. Once an attempt may have been executed by its server, a request that is
 * not idempotent is not attempted again, and one with an idempotency key only at servers that drop its duplicates and
 * only as long as they do. One for each request; one thread; all calls O(1).
 */
final class DuplicateExecutionGuard {
    private final RequestClass requestClass;
    /** Server of the first attempt that may have been executed; null where none has. */
    private ServerState possiblyExecutedAt;

    private long possiblyExecutedSinceMicros;

    DuplicateExecutionGuard(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    /** An attempt ended; it started at that time, and its outcome tells whether it was certainly not executed. */
    void onAttemptEnded(ServerState server, AttemptOutcome outcome, long startedAtMicros) {
        if (!outcome.notExecuted && possiblyExecutedAt == null) {
            possiblyExecutedAt = server;
            possiblyExecutedSinceMicros = startedAtMicros;
        }
    }

    /** Whether one more attempt, at a server that {@link #allowsServer} admits, cannot take effect twice. */
    boolean allowsAttempt(long nowMicros) {
        return isUnrestricted()
                || (requestClass.idempotency() == Idempotency.WITH_KEY
                        && nowMicros - possiblyExecutedSinceMicros < requestClass.deduplicationWindowMicros());
    }

    /** Whether this server would drop a duplicate of the attempt that may have been executed, if there is one. */
    boolean allowsServer(ServerState server) {
        return isUnrestricted()
                || requestClass
                        .deduplicationScope()
                        .covers(possiblyExecutedAt.zone, possiblyExecutedAt.cell, server.zone, server.cell);
    }

    /**
     * Whether the client may be told that a retry is harmless, which a rejection implies. It may retry at any server,
     * so a key helps only where all servers share it.
     */
    boolean allowsRejection() {
        return isUnrestricted()
                || (requestClass.idempotency() == Idempotency.WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    private boolean isUnrestricted() {
        return possiblyExecutedAt == null || requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
}
