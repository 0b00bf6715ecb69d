package sandstack.core;

import java.util.TreeSet;

/** Every deadline of the relay in one sorted structure, swept each turn. */
public final class DeadlineScheduler {
    private final TreeSet<Deadline> sorted = new TreeSet<>();
    private long lastNumber;

    /** Something to do at a time, unless it is called off before. */
    public final class Deadline implements Comparable<Deadline> {
        private final long dueMicros;
        private final long number = ++lastNumber;
        private final Runnable task;

        private Deadline(long dueMicros, Runnable task) {
            this.dueMicros = dueMicros;
            this.task = task;
        }

        /** Calls it off; without effect once it has run or was called off before. */
        public void cancel() {
            sorted.remove(this);
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Runs the task in the first sweep at or after this time. */
    public Deadline schedule(long dueMicros, Runnable task) {
        Deadline deadline = new Deadline(dueMicros, task);
        sorted.add(deadline);
        return deadline;
    }

    /** Runs all that is due, in order of time. What is set meanwhile for a time not after now runs too. */
    public void runExpired(long nowMicros) {
        while (!sorted.isEmpty() && sorted.first().dueMicros <= nowMicros) {
            sorted.pollFirst().task.run();
        }
    }

    /** When the next deadline is due; {@link Long#MAX_VALUE} where there is none. */
    public long nextMicros() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().dueMicros;
    }

    /** How many are set. */
    public int size() {
        return sorted.size();
    }
}
