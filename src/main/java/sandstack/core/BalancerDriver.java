package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerEvent;
import sandstack.decisions.LoadBalancer;

/**
 * Queues the events of a turn, passes them to the load balancer and dispatches the actions that it returns. Owns the
 * event queue and the load balancer; used on the event loop's thread only.
 */
final class BalancerDriver {
    private final LoadBalancer loadBalancer;
    private final BalancerAction.Handler<RuntimeException> handler;
    private List<BalancerEvent> pendingEvents = new ArrayList<>();

    BalancerDriver(LoadBalancer loadBalancer, BalancerAction.Handler<RuntimeException> handler) {
        this.loadBalancer = loadBalancer;
        this.handler = handler;
    }

    void enqueue(BalancerEvent event) {
        pendingEvents.add(event);
    }

    boolean hasEvents() {
        return !pendingEvents.isEmpty();
    }

    /**
     * Passes all queued events to the load balancer in batches. Events that the dispatched actions enqueue form the
     * next batch of the same turn.
     */
    void processEvents(long nowMicros) {
        while (!pendingEvents.isEmpty()) {
            List<BalancerEvent> batch = pendingEvents;
            pendingEvents = new ArrayList<>();
            List<BalancerAction> actions = new ArrayList<>();
            for (BalancerEvent event : batch) {
                actions.addAll(loadBalancer.handle(event, nowMicros));
            }
            actions.forEach(action -> action.dispatch(handler));
        }
    }

    boolean isClosedToNewRequests(String serverId) {
        return loadBalancer.isClosedToNewRequests(serverId);
    }
}
