package sandstack.measure.scale;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock with scheduled events, in microseconds. O(log events) per event; not thread-safe. */
public final class SimulatedClock {
    /** A scheduled event; events due at the same time run in the order of their sequence numbers. */
    private record Event(long dueMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long lastSequence;

    /** Creates a clock that starts at a time in microseconds. */
    public SimulatedClock(long startMicros) {
        this.nowMicros = startMicros;
    }

    /** The current simulated time. */
    public long nowMicros() {
        return nowMicros;
    }

    /**
     * Schedules an action. Actions due at the same time run in the order of the calls; a negative delay counts as zero.
     */
    public void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), ++lastSequence, action));
    }

    /** Schedules an action to run periodically; it cannot be cancelled. */
    public void scheduleRepeatedly(long initialDelayMicros, long periodMicros, Runnable action) {
        schedule(initialDelayMicros, () -> {
            action.run();
            scheduleRepeatedly(periodMicros, periodMicros, action);
        });
    }

    /** Advances the time by {@code micros} and runs all events that become due. */
    public void advance(long micros) {
        long endMicros = nowMicros + micros;
        while (!events.isEmpty() && events.peek().dueMicros() <= endMicros) {
            Event event = events.remove();
            nowMicros = event.dueMicros();
            event.action().run();
        }
        nowMicros = endMicros;
    }
}
