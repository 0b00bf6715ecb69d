package sandstack.decisions;

import java.util.PriorityQueue;

/** Simulated time with scheduled tasks. Tasks due at the same time run in the order in which they were scheduled. */
final class SimulatedClock {
    /** A task and its due time; {@code order} breaks ties. */
    private record Task(long dueMicros, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMicros = 50_000_000;
    private long scheduledCount;

    long nowMicros() {
        return nowMicros;
    }

    void schedule(long delayMicros, Runnable action) {
        tasks.add(new Task(nowMicros + delayMicros, scheduledCount++, action));
    }

    /** Advances the time by this duration and runs the tasks that become due, each at its time. */
    void advance(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (!tasks.isEmpty() && tasks.peek().dueMicros <= endMicros) {
            Task task = tasks.poll();
            nowMicros = Math.max(nowMicros, task.dueMicros);
            task.action.run();
        }
        nowMicros = endMicros;
    }
}
