package sandstack.decisions;

/**
 * Counts the established connections of each server and their loads, in the estimate of the server and in the capacity
 * model. Confined to the thread of the load balancer. All calls are O(1).
 */
final class ConnectionTracker {
    private final BalancerContext context;

    ConnectionTracker(BalancerContext context) {
        this.context = context;
    }

    /**
     * A connection has been established at the server of its request.
     *
     * @param load in microseconds of work per second; 0 if unknown
     */
    void onEstablished(TrackedRequest request, double load) {
        ServerState server = request.server;
        server.established.put(request.event.requestId(), request);
        request.assumedLoad = Math.max(0, load);
        context.capacity.onEstablished(request.knownLoad);
        server.estimate.onEstablished(request.assumedLoad, context.nowMicros(), context.uniform());
        if (request.event.group() != null) {
            server.connectionsByGroup.merge(request.event.group(), 1, Integer::sum);
        }
    }

    /** An established connection has reported its load. */
    void onLoadReported(TrackedRequest request, double load) {
        request.server.estimate.onLoadChanged(request.assumedLoad, load);
        context.capacity.onLoadReported(request.knownLoad, load);
        request.knownLoad = load;
        request.assumedLoad = load;
    }

    /** The connection of a request has ended; no effect if none is established. */
    void onClosed(TrackedRequest request) {
        ServerState server = request.server;
        if (server == null || server.established.remove(request.event.requestId()) == null) {
            return;
        }
        server.estimate.onClosed(request.assumedLoad);
        context.capacity.onClosed();
        if (request.event.group() != null) {
            server.connectionsByGroup.computeIfPresent(
                    request.event.group(), (group, count) -> count > 1 ? count - 1 : null);
        }
    }
}
