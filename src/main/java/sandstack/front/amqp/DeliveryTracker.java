package sandstack.front.amqp;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import sandstack.net.HeapBudget;
import sandstack.random.BoundedMap;

/**
 * The states of the deliveries that a client has sent over one link and not settled. They are kept beyond the end of
 * the connection: a client that attaches the same link again receives the states and does not have to send the
 * deliveries again. Used on the event loop's thread only.
 */
final class DeliveryTracker {
    /** Beyond this number, the delivery that was forwarded first is dropped. */
    private static final int MAX_DELIVERIES = 256;
    /** Maximum length of a delivery tag (AMQP 1.0, section 2.8.7). */
    private static final int MAX_TAG_BYTES = 32;
    /** Heap that one delivery uses. */
    private static final long DELIVERY_HEAP_BYTES = 200;

    /** A delivery's last state at the feed server; {@code state} is null until one is received. */
    private record TrackedDelivery(DeliveryState state) {}

    private final Map<Binary, TrackedDelivery> deliveries = new BoundedMap<>(MAX_DELIVERIES);
    private final HeapBudget heap;
    private boolean counting = true;
    private long countedBytes;

    /**
     * Creates a tracker without deliveries.
     *
     * @param heap counts the memory of the deliveries until {@link #stopCounting}
     */
    DeliveryTracker(HeapBudget heap) {
        this.heap = heap;
    }

    /** Adds a delivery that has been received completely and is being forwarded; ignores one with an invalid tag. */
    void onForwarded(Binary tag) {
        if (tag.getLength() <= MAX_TAG_BYTES) {
            deliveries.put(tag, new TrackedDelivery(null));
            countHeap();
        }
    }

    /** Counts the memory of the deliveries towards the heap budget, for a client that has attached the link again. */
    void startCounting() {
        counting = true;
        countHeap();
    }

    /** Ends the counting, at the end of the connection. */
    void stopCounting() {
        counting = false;
        countHeap();
    }

    private void countHeap() {
        long bytes = counting ? heapBytes() : 0;
        heap.add(bytes - countedBytes);
        countedBytes = bytes;
    }

    /** The heap that the deliveries use, in bytes. */
    long heapBytes() {
        return deliveries.size() * DELIVERY_HEAP_BYTES;
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
        countHeap();
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
