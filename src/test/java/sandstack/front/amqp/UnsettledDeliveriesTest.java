package sandstack.front.amqp;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.apache.qpid.protonj2.types.Binary;
import org.junit.jupiter.api.Test;
import sandstack.net.HeapBudget;

/** Guards against a heap that fills with the deliveries of AMQP clients that reconnect under new container ids. */
class UnsettledDeliveriesTest {
    private static final long MAX_HEAP_BYTES = 4L << 20;
    private static final int DELIVERIES = 256;

    private final HeapBudget heap = new HeapBudget();

    private DeliveryTracker tracker(int deliveries) {
        DeliveryTracker tracker = new DeliveryTracker(heap);
        for (int i = 0; i < deliveries; i++) {
            tracker.onForwarded(new Binary(("tag" + i).getBytes(StandardCharsets.US_ASCII)));
        }
        return tracker;
    }

    private static LinkId link(int number) {
        return new LinkId("container" + number, "orders", true);
    }

    @Test
    void theDeliveriesOfManyLinksUseLimitedHeap() {
        UnsettledDeliveries unsettled = new UnsettledDeliveries();
        for (int i = 0; i < 1_000; i++) {
            unsettled.put(link(i), tracker(DELIVERIES));
        }
        long keptBytes = 0;
        int kept = 0;
        for (int i = 999; i >= 0; i--) {
            DeliveryTracker tracker = unsettled.remove(link(i));
            if (tracker != null) {
                assertThat(kept).as("links kept, newest first").isEqualTo(999 - i);
                kept++;
                keptBytes += tracker.heapBytes();
            }
        }
        assertThat(keptBytes).isBetween(MAX_HEAP_BYTES / 2, MAX_HEAP_BYTES);
    }

    @Test
    void longNamesCountToo() {
        UnsettledDeliveries unsettled = new UnsettledDeliveries();
        String name = "x".repeat((int) MAX_HEAP_BYTES / 2);
        unsettled.put(new LinkId("first", name, true), tracker(1));
        unsettled.put(new LinkId("second", name, true), tracker(1));
        assertThat(unsettled.remove(new LinkId("first", name, true))).isNull();
        assertThat(unsettled.remove(new LinkId("second", name, true))).isNotNull();
    }

    @Test
    void deliveriesCountTowardsTheHeapBudgetUntilTheirConnectionEnds() {
        DeliveryTracker tracker = tracker(2 * DELIVERIES);
        assertThat(heap.usedBytes()).isEqualTo(tracker.heapBytes()).isPositive();
        tracker.stopCounting();
        assertThat(heap.usedBytes()).isZero();
        tracker.startCounting();
        assertThat(heap.usedBytes()).isEqualTo(tracker.heapBytes());
    }
}
