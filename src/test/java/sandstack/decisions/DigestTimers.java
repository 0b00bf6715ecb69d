package sandstack.decisions;

import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** The timers of a {@link DigestStream}, some of which expire late. Not thread-safe. */
final class DigestTimers {
    /** Bound on the delay, beyond its due time, of a timer that expires late. */
    private static final int MAX_DELAY_MICROS = 200_000;

    /** A timer; ordered by due time, then by the order in which timers were set. */
    private record Timer(long dueMicros, int order, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Integer.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private int count;

    void set(long dueMicros, long token) {
        timers.add(new Timer(dueMicros, count++, token));
    }

    /**
     * Removes the next timer that is due and returns its token; empty if none is due, or if a random draw delays the
     * timer.
     */
    OptionalLong pollDue(long nowMicros, SplittableRandom random) {
        if (timers.isEmpty() || timers.peek().dueMicros > nowMicros) {
            return OptionalLong.empty();
        }
        Timer timer = timers.poll();
        if (random.nextInt(8) == 0) {
            set(nowMicros + random.nextInt(MAX_DELAY_MICROS), timer.token);
            return OptionalLong.empty();
        }
        return OptionalLong.of(timer.token);
    }
}
