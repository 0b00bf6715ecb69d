package sandstack.decisions;

/**
 * Counts the established connections of each server and their loads, in the server's estimate and in the capacity
 * model. One thread; all calls O(1).
 */
final class ConnectionTracker {
    private final BalancerContext context;

    ConnectionTracker(BalancerContext context) {
        this.context = context;
    }

    /**
     * A connection has been established at its request's server.
     *
     * @param load in microseconds of work a second; 0 where unknown
     */
    void onEstablished(TrackedRequest request, double load) {
        ServerState server = request.server;
        server.established.put(request.event.requestId(), request);
        request.assumedLoad = Math.max(0, load);
        context.capacity.onEstablished(request.reportedLoad);
        server.estimate.onEstablished(request.assumedLoad, context.nowMicros(), context.uniform());
        if (request.event.group() != null) {
            server.connectionsByGroup.merge(request.event.group(), 1, Integer::sum);
        }
    }

    /** The load of an established connection has changed. */
    void onLoadReported(TrackedRequest request, double load) {
        request.server.estimate.onLoadChanged(request.assumedLoad, load);
        context.capacity.onLoadReported(request.reportedLoad, load);
        request.reportedLoad = load;
        request.assumedLoad = load;
    }

    /** The request's connection has ended; without effect where none is established. */
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
