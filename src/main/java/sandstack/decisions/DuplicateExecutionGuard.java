package sandstack.decisions;

/**
 * Prevents a request from taking effect twice. Once an attempt may have been executed by its server, a request that is
 * not idempotent is not attempted again, and a request with an idempotency key only at servers that drop its
 * duplicates, and only within the deduplication window. Stateless: {@link TrackedRequest} holds the first attempt that
 * may have been executed. All calls are O(1).
 */
final class DuplicateExecutionGuard {
    private DuplicateExecutionGuard() {}

    /**
     * Whether one more attempt, at a server that {@link #allowsServer} accepts, cannot make the request take effect
     * twice.
     */
    static boolean allowsAttempt(TrackedRequest request, long nowMicros) {
        return isUnrestricted(request)
                || (request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && nowMicros - request.possibleExecutionStartMicros()
                                < request.requestClass.deduplicationWindowMicros());
    }

    /**
     * Whether this server drops duplicates of the attempt that may have been executed; always true if there is no such
     * attempt or the request is idempotent.
     */
    static boolean allowsServer(TrackedRequest request, ServerState server) {
        if (isUnrestricted(request)) {
            return true;
        }
        ServerState executedAt = request.possibleExecutionServer();
        return request.requestClass
                .deduplicationScope()
                .covers(executedAt.zone, executedAt.cell, server.zone, server.cell);
    }

    /**
     * Whether the request may be rejected, which tells the client that a retry is harmless. The client may retry at any
     * server, so an idempotency key permits this only if all servers share it.
     */
    static boolean allowsRejection(TrackedRequest request) {
        return isUnrestricted(request)
                || (request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    private static boolean isUnrestricted(TrackedRequest request) {
        return request.possibleExecutionServer() == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
}
