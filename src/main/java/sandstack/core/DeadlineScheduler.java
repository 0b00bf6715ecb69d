package sandstack.core;

import java.util.TreeSet;

/**
 * Every deadline of the relay in one sorted set, run in each turn of the event loop. Used on that loop's thread only.
 */
public final class DeadlineScheduler {
    private final TreeSet<Deadline> sorted = new TreeSet<>();
    private long lastNumber;

    /** A task that is due at a time, unless it is cancelled before. */
    public final class Deadline implements Comparable<Deadline> {
        private final long dueMicros;
        private final long number = ++lastNumber;
        private final Runnable task;

        private Deadline(long dueMicros, Runnable task) {
            this.dueMicros = dueMicros;
            this.task = task;
        }

        /** Cancels the task; without effect once it has run or was cancelled before. */
        public void cancel() {
            sorted.remove(this);
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Runs the task in the first turn at or after this time. */
    public Deadline schedule(long dueMicros, Runnable task) {
        Deadline deadline = new Deadline(dueMicros, task);
        sorted.add(deadline);
        return deadline;
    }

    /** Runs all tasks that are due, in order of time; tasks that these schedule for a time not after now run too. */
    public void runExpired(long nowMicros) {
        while (!sorted.isEmpty() && sorted.first().dueMicros <= nowMicros) {
            sorted.pollFirst().task.run();
        }
    }

    /** When the next deadline is due; {@link Long#MAX_VALUE} where there is none. */
    public long nextMicros() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().dueMicros;
    }

    /** How many tasks are scheduled. */
    public int size() {
        return sorted.size();
    }
}
