package sandstack.core;

import java.util.TreeSet;

/**
 * Runs the relay's timed tasks. Keeps all deadlines in one sorted set; each turn of the event loop runs the expired
 * ones. Used on the event loop's thread only.
 */
public final class DeadlineScheduler {
    private final TreeSet<Deadline> sorted = new TreeSet<>();
    private long lastNumber;

    /** A task and the time at which it is due; two with the same time run in the order in which they were scheduled. */
    public final class Deadline implements Comparable<Deadline> {
        private final long dueMicros;
        private final long number = ++lastNumber;
        private final Runnable task;

        private Deadline(long dueMicros, Runnable task) {
            this.dueMicros = dueMicros;
            this.task = task;
        }

        /** Cancels the task; no effect once it has run or been cancelled. */
        public void cancel() {
            sorted.remove(this);
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Schedules a task for the first turn at or after {@code dueMicros}, on the relay's clock. */
    public Deadline schedule(long dueMicros, Runnable task) {
        Deadline deadline = new Deadline(dueMicros, task);
        sorted.add(deadline);
        return deadline;
    }

    /** Runs all tasks due at or before {@code nowMicros} in order of time, also those that these tasks schedule. */
    public void runExpired(long nowMicros) {
        while (!sorted.isEmpty() && sorted.first().dueMicros <= nowMicros) {
            sorted.pollFirst().task.run();
        }
    }

    /** When the earliest deadline is due; {@link Long#MAX_VALUE} if none is scheduled. */
    public long nextMicros() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().dueMicros;
    }

    /** The number of scheduled tasks that have neither run nor been cancelled. */
    public int size() {
        return sorted.size();
    }
}
