package sandstack.decisions;

import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** The timers of a {@link DigestStream}, some of which expire late. Not thread-safe. */
final class DigestTimers {
    private static final int MAX_DELAY_MICROS = 200_000;

    /** A timer; ordered by due time, then by the order of setting. */
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

    /** The token of an expired timer; empty if none has expired, or if the next one is delayed. */
    OptionalLong due(long now, SplittableRandom random) {
        if (timers.isEmpty() || timers.peek().dueMicros > now) {
            return OptionalLong.empty();
        }
        Timer timer = timers.poll();
        if (random.nextInt(8) == 0) {
            set(now + random.nextInt(MAX_DELAY_MICROS), timer.token);
            return OptionalLong.empty();
        }
        return OptionalLong.of(timer.token);
    }
}
