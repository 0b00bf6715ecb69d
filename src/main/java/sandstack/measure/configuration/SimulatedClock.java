package sandstack.measure.configuration;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time in microseconds and what happens in it, in a fixed order. One thread. */
public final class SimulatedClock {
    /** What happens at a moment; those of one moment in the order in which they were asked for. */
    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now = 1_000_000;
    private long order;

    /** The moment. */
    public long now() {
        return now;
    }

    /** Does something later. */
    public void after(long micros, Runnable action) {
        events.add(new Event(now + Math.max(0, micros), order++, action));
    }

    /** Does all that is due within so long. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
