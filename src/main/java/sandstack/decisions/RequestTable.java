package sandstack.decisions;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.RejectionReason;
import sandstack.capacity.RelayConnectionLimiter;

/**
 * The requests of this relay in the order of their arrival, each until its final answer or the end of its connection.
 * Counts them against the connection limits of the installation. Confined to the thread of the load balancer. All calls
 * are O(1).
 */
final class RequestTable {
    private final BalancerContext context;
    private final ConnectionTracker connections;
    private final RelayConnectionLimiter connectionLimiter;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();

    RequestTable(BalancerContext context, ConnectionTracker connections, InstallationLimits limits) {
        this.context = context;
        this.connections = connections;
        connectionLimiter = new RelayConnectionLimiter(limits);
    }

    /** The request with this id; null if there is none. */
    TrackedRequest get(String requestId) {
        return requests.get(requestId);
    }

    Collection<TrackedRequest> all() {
        return requests.values();
    }

    /** The limit that one more request of this group would exceed; null if there is none. */
    RejectionReason reachedLimit(String group) {
        return connectionLimiter.reachedLimit(group);
    }

    void add(TrackedRequest request) {
        requests.put(request.event.requestId(), request);
        connectionLimiter.onArrived(request.event.group());
    }

    /** Removes a request and releases what it holds. A request that was removed before has nothing left to release. */
    void remove(TrackedRequest request) {
        connections.onClosed(request);
        if (requests.remove(request.event.requestId()) != null) {
            connectionLimiter.onFinished(request.event.group());
        }
        context.cancelTimer(request);
        request.state = TrackedRequest.State.WAITING;
    }
}
