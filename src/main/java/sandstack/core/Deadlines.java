package sandstack.core;

import java.util.TreeSet;

/** Every deadline of the relay in one sorted structure, swept each turn. */
public final class Deadlines {
    private final TreeSet<Deadline> sorted = new TreeSet<>();
    private long lastNumber;

    /** Something to do at a time, unless it is called off before. */
    public final class Deadline implements Comparable<Deadline> {
        private final long due;
        private final long number = ++lastNumber;
        private final Runnable task;

        private Deadline(long due, Runnable task) {
            this.due = due;
            this.task = task;
        }

        /** Calls it off; without effect once it has run or was called off before. */
        public void cancel() {
            sorted.remove(this);
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(due, other.due);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Runs the task in the first sweep at or after this time. */
    public Deadline at(long due, Runnable task) {
        Deadline deadline = new Deadline(due, task);
        sorted.add(deadline);
        return deadline;
    }

    /** Runs all that is due, in order of time. What is set meanwhile for a time not after now runs too. */
    public void sweep(long now) {
        while (!sorted.isEmpty() && sorted.first().due <= now) {
            sorted.pollFirst().task.run();
        }
    }

    /** When the next deadline is due; {@link Long#MAX_VALUE} where there is none. */
    public long next() {
        return sorted.isEmpty() ? Long.MAX_VALUE : sorted.first().due;
    }

    /** How many are set. */
    public int size() {
        return sorted.size();
    }
}
