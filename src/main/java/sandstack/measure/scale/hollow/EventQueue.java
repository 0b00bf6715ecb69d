package sandstack.measure.scale.hollow;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock with scheduled events, in microseconds. O(log events) per event; not thread-safe. */
final class EventQueue {
    /** A scheduled event; events of the same time run in the order of their sequence numbers. */
    private record Event(long dueMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long lastSequence;

    EventQueue(long now) {
        this.nowMicros = now;
    }

    long nowMicros() {
        return nowMicros;
    }

    /** Schedules an action; actions of the same time run in the order of the calls. */
    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, ++lastSequence, action));
    }

    /** Schedules an action repeatedly, without an end. */
    void scheduleRepeatedly(long initialDelayMicros, long periodMicros, Runnable action) {
        schedule(initialDelayMicros, () -> {
            action.run();
            scheduleRepeatedly(periodMicros, periodMicros, action);
        });
    }

    /** Advances the time and runs all events that are due until then. */
    void advance(long micros) {
        long endMicros = nowMicros + micros;
        while (!events.isEmpty() && events.peek().dueMicros() <= endMicros) {
            Event event = events.remove();
            nowMicros = event.dueMicros();
            event.action().run();
        }
        nowMicros = endMicros;
    }
}
