package sandstack.front.amqp;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The deliveries that connections have left unsettled at their end, by link, for clients that attach their link again.
 * Beyond a number of links or an amount of memory, those that were added first are dropped. Used on the event loop's
 * thread only.
 */
final class UnsettledDeliveries {
    private static final int MAX_LINKS = 1024;
    private static final long MAX_HEAP_BYTES = 4L << 20;

    /** The deliveries of one link, and the heap that they used when they were added. */
    private record Entry(DeliveryTracker tracker, long heapBytes) {}

    private final Map<LinkId, Entry> entries = new LinkedHashMap<>();
    private long heapBytes;

    /** Adds the deliveries of a link, in place of those that an earlier connection has left. */
    void put(LinkId id, DeliveryTracker tracker) {
        remove(id);
        Entry added = new Entry(tracker, id.containerId().length() + id.name().length() + tracker.heapBytes());
        entries.put(id, added);
        heapBytes += added.heapBytes();
        while (entries.size() > MAX_LINKS || heapBytes > MAX_HEAP_BYTES) {
            remove(entries.keySet().iterator().next());
        }
    }

    /** Removes and returns the deliveries of a link; null if there are none. */
    DeliveryTracker remove(LinkId id) {
        Entry removed = entries.remove(id);
        if (removed == null) {
            return null;
        }
        heapBytes -= removed.heapBytes();
        return removed.tracker();
    }
}
