package sandstack.measure.scale.hollow;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock, in microseconds, and what is due on it. One thread; O(log events) an event. */
final class EventQueue {
    /** What is due at a moment; of two at one moment the one with the lower order is first. */
    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long lastOrder;

    EventQueue(long now) {
        this.now = now;
    }

    long now() {
        return now;
    }

    /** Runs this once so many microseconds have passed; what is due at one moment runs in the order of the calls. */
    void after(long micros, Runnable action) {
        events.add(new Event(now + micros, ++lastOrder, action));
    }

    /** Runs this again and again, first after {@code first} microseconds, until the queue is dropped. */
    void every(long first, long period, Runnable action) {
        after(first, () -> {
            action.run();
            every(period, period, action);
        });
    }

    /** Runs all that is due within the next so many microseconds. */
    void advance(long micros) {
        long until = now + micros;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        now = until;
    }
}
