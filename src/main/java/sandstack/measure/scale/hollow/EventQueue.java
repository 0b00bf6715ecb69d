package sandstack.measure.scale.hollow;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock, in microseconds, and what is due on it. One thread; O(log events) an event. */
final class EventQueue {
    /** What is due at a moment; of two at one moment the one with the lower order is first. */
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

    /** Runs this once so many microseconds have passed; what is due at one moment runs in the order of the calls. */
    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, ++lastSequence, action));
    }

    /** Runs this again and again, first after {@code first} microseconds, until the queue is dropped. */
    void scheduleRepeatedly(long initialDelayMicros, long periodMicros, Runnable action) {
        schedule(initialDelayMicros, () -> {
            action.run();
            scheduleRepeatedly(periodMicros, periodMicros, action);
        });
    }

    /** Runs all that is due within the next so many microseconds. */
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
