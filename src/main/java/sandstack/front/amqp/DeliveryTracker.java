package sandstack.front.amqp;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * The states of the deliveries that a client has sent over one link and not settled. Outlives the connection, so that a
 * client which attaches the same link again learns them and need not send twice. Used on the loop's thread only.
 */
final class DeliveryTracker {
    private static final int MAX_DELIVERIES = 256;

    /** A delivery's state at its feed server; null while none has been received. */
    private record TrackedDelivery(DeliveryState state) {}

    private final Map<Binary, TrackedDelivery> deliveries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Binary, TrackedDelivery> eldest) {
            return size() > MAX_DELIVERIES;
        }
    };

    /** The complete delivery has been forwarded. */
    void onForwarded(Binary tag) {
        deliveries.put(tag, new TrackedDelivery(null));
    }

    /** The feed server has sent this state; null leaves the last one. */
    void onState(Binary tag, DeliveryState state) {
        if (state != null && deliveries.containsKey(tag)) {
            deliveries.put(tag, new TrackedDelivery(state));
        }
    }

    /** The client has settled the delivery. */
    void forget(Binary tag) {
        deliveries.remove(tag);
    }

    boolean contains(Binary tag) {
        return deliveries.containsKey(tag);
    }

    /** The last state received; null if there is none. */
    DeliveryState state(Binary tag) {
        TrackedDelivery delivery = deliveries.get(tag);
        return delivery == null ? null : delivery.state();
    }

    boolean isEmpty() {
        return deliveries.isEmpty();
    }

    /** The states in the form of an attach's unsettled map. */
    Map<Binary, DeliveryState> unsettledStates() {
        Map<Binary, DeliveryState> states = new LinkedHashMap<>();
        deliveries.forEach((tag, delivery) -> states.put(tag, delivery.state()));
        return states;
    }
}
