package sandstack.front.amqp;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * The states of the deliveries that a client has sent over one link and not settled. They are kept beyond the end of
 * the connection: a client that attaches the same link again receives the states and does not have to send the
 * deliveries again. Used on the event loop's thread only.
 */
final class DeliveryTracker {
    /** Beyond this number, the delivery that was forwarded first is dropped. */
    private static final int MAX_DELIVERIES = 256;

    /** A delivery's last state at the feed server; {@code state} is null until one is received. */
    private record TrackedDelivery(DeliveryState state) {}

    private final Map<Binary, TrackedDelivery> deliveries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Binary, TrackedDelivery> eldest) {
            return size() > MAX_DELIVERIES;
        }
    };

    /** Adds a delivery that has been received completely and is being forwarded. */
    void onForwarded(Binary tag) {
        deliveries.put(tag, new TrackedDelivery(null));
    }

    /** Records a state that the feed server has sent; null leaves the last one unchanged. */
    void onState(Binary tag, DeliveryState state) {
        if (state != null && deliveries.containsKey(tag)) {
            deliveries.put(tag, new TrackedDelivery(state));
        }
    }

    /** Removes a delivery that the client has settled or no longer holds. */
    void remove(Binary tag) {
        deliveries.remove(tag);
    }

    boolean contains(Binary tag) {
        return deliveries.containsKey(tag);
    }

    /** The last state received for this delivery; null if there is none. */
    DeliveryState state(Binary tag) {
        TrackedDelivery delivery = deliveries.get(tag);
        return delivery == null ? null : delivery.state();
    }

    boolean isEmpty() {
        return deliveries.isEmpty();
    }

    /** The states in the form of the unsettled map of an attach performative. */
    Map<Binary, DeliveryState> unsettledStates() {
        Map<Binary, DeliveryState> states = new LinkedHashMap<>();
        deliveries.forEach((tag, delivery) -> states.put(tag, delivery.state()));
        return states;
    }
}
