package sandstack.front.amqp;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import sandstack.net.HeapBudget;

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
    private static final long DELIVERY_HEAP_BYTES = 300;

    /**
     * A delivery's tag and its last state at the feed server.
     *
     * @param state null until one is received
     */
    private record TrackedDelivery(Binary tag, DeliveryState state) {
        long heapBytes() {
            return DELIVERY_HEAP_BYTES + DecodedHeap.bytesOf(state);
        }
    }

    /** By the bytes of the tag: the library's {@code Binary} has another hash code at its first use than later. */
    private final Map<ByteBuffer, TrackedDelivery> deliveries = new LinkedHashMap<>();

    private long heapBytes;
    private boolean namedOnly;
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
            put(new TrackedDelivery(tag, null));
        }
    }

    private void put(TrackedDelivery delivery) {
        TrackedDelivery before = deliveries.put(key(delivery.tag()), delivery);
        heapBytes += delivery.heapBytes() - (before == null ? 0 : before.heapBytes());
        if (deliveries.size() > MAX_DELIVERIES) {
            remove(deliveries.values().iterator().next().tag());
        }
        countHeap();
    }

    /** Adds the deliveries of an earlier connection that this one has not added itself. */
    void addEarlier(DeliveryTracker earlier) {
        for (TrackedDelivery delivery : List.copyOf(earlier.deliveries.values())) {
            if (!contains(delivery.tag())) {
                put(delivery);
            }
        }
    }

    /**
     * Called when the client has ended its connection in order and may come again: only what it names in the unsettled
     * map of its next attach are these deliveries, and all others are new ones whatever their tags.
     */
    void setNamedOnly() {
        namedOnly = true;
    }

    boolean isNamedOnly() {
        return namedOnly;
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
        return heapBytes;
    }

    /** Records a state that the feed server has sent; null leaves the last one unchanged. */
    void onState(Binary tag, DeliveryState state) {
        if (state != null && contains(tag)) {
            put(new TrackedDelivery(tag, state));
        }
    }

    /** Removes a delivery that the client has settled or no longer holds. */
    void remove(Binary tag) {
        TrackedDelivery removed = deliveries.remove(key(tag));
        if (removed != null) {
            heapBytes -= removed.heapBytes();
            countHeap();
        }
    }

    boolean contains(Binary tag) {
        return deliveries.containsKey(key(tag));
    }

    /** The last state received for this delivery; null if there is none. */
    DeliveryState state(Binary tag) {
        TrackedDelivery delivery = deliveries.get(key(tag));
        return delivery == null ? null : delivery.state();
    }

    boolean isEmpty() {
        return deliveries.isEmpty();
    }

    /** The states in the form of the unsettled map of an attach performative. */
    Map<Binary, DeliveryState> unsettledStates() {
        Map<Binary, DeliveryState> states = new LinkedHashMap<>();
        deliveries.values().forEach(delivery -> states.put(delivery.tag(), delivery.state()));
        return states;
    }

    /** Removes all deliveries whose tags are not among these. */
    void retainAll(Collection<Binary> tags) {
        Set<ByteBuffer> keys = tags.stream().map(DeliveryTracker::key).collect(Collectors.toSet());
        for (TrackedDelivery delivery : List.copyOf(deliveries.values())) {
            if (!keys.contains(key(delivery.tag()))) {
                remove(delivery.tag());
            }
        }
    }

    private static ByteBuffer key(Binary tag) {
        return ByteBuffer.wrap(tag.asByteArray());
    }
}
