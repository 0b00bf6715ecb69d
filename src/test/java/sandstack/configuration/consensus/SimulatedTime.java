package sandstack.configuration.consensus;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock that advances to the time of the next scheduled task; all tasks run on the calling thread. */
final class SimulatedTime {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long START_MILLIS = 1_700_000_000_000L;

    /** A scheduled task; tasks with the same time run in the order in which they were scheduled. */
    private record Task(long atMicros, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMicros).thenComparingLong(Task::order));
    private long nowMicros;
    private long order;

    long nowMicros() {
        return nowMicros;
    }

    void after(long delayMicros, Runnable action) {
        tasks.add(new Task(nowMicros + Math.max(0, delayMicros), order++, action));
    }

    void runForMillis(long millis) {
        long end = nowMicros + millis * MICROS_PER_MILLI;
        while (!tasks.isEmpty() && tasks.peek().atMicros() <= end) {
            Task task = tasks.poll();
            nowMicros = task.atMicros();
            task.action().run();
        }
        nowMicros = end;
    }

    Clock clock() {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli(millis());
            }

            @Override
            public long millis() {
                return START_MILLIS + nowMicros / MICROS_PER_MILLI;
            }
        };
    }
}
