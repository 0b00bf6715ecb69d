package sandstack.decisions;

/**
 * Keeps a request from taking effect twice. Once an attempt may have been executed by its server, a request that is not
 * idempotent is not attempted again, and one with an idempotency key only at servers that drop its duplicates and only
 * as long as they do. Stateless: the request holds its first attempt that may have been executed. All calls O(1).
 */
final class DuplicateExecutionGuard {
    private DuplicateExecutionGuard() {}

    /** Whether one more attempt, at a server that {@link #allowsServer} admits, cannot take effect twice. */
    static boolean allowsAttempt(TrackedRequest request, long nowMicros) {
        return isUnrestricted(request)
                || (request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && nowMicros - request.possiblyExecutedSinceMicros()
                                < request.requestClass.deduplicationWindowMicros());
    }

    /** Whether this server would drop a duplicate of the attempt that may have been executed, if there is one. */
    static boolean allowsServer(TrackedRequest request, ServerState server) {
        if (isUnrestricted(request)) {
            return true;
        }
        ServerState executedAt = request.possiblyExecutedAt();
        return request.requestClass
                .deduplicationScope()
                .covers(executedAt.zone, executedAt.cell, server.zone, server.cell);
    }

    /**
     * Whether the request may be rejected, which implies that a retry by the client is harmless. The client may retry
     * at any server, so a key helps only where all servers share it.
     */
    static boolean allowsRejection(TrackedRequest request) {
        return isUnrestricted(request)
                || (request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    private static boolean isUnrestricted(TrackedRequest request) {
        return request.possiblyExecutedAt() == null || request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
}
