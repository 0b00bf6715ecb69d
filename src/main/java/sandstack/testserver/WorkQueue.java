package sandstack.testserver;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The simulated processor of a {@link FakeFeedServer}: tasks wait in one FIFO queue for the first free core. Cores are
 * slower while the server warms up and while a noisy neighbour takes a share of them. Used on the thread of its loop.
 */
final class WorkQueue {
    /** Lower bound of the core speed; keeps durations finite when a noisy neighbour takes all of every core. */
    private static final double MIN_SPEED = 1e-6;

    private final TestServerLoop loop;
    private final ServerProfile profile;
    private final Deque<Task> waiting = new ArrayDeque<>();
    private int busyCores;
    private double stolenShare;
    private long bootedAtMicros;
    private double busyMicros;

    /** Work in microseconds of a standard core, and the action that runs once it is done. */
    private record Task(long workMicros, Runnable completion) {}

    WorkQueue(TestServerLoop loop, ServerProfile profile) {
        this.loop = loop;
        this.profile = profile;
    }

    /**
     * Queues work whose completion runs on the thread of the loop once the work is done; at once if there is no work.
     */
    void submit(long workMicros, Runnable completion) {
        if (workMicros <= 0) {
            completion.run();
            return;
        }
        waiting.add(new Task(workMicros, completion));
        startNext();
    }

    /** Discards tasks that have not started; tasks in progress still complete. */
    void clear() {
        waiting.clear();
    }

    /** Restarts the warm-up at this time. */
    void restarted(long nowMicros) {
        bootedAtMicros = nowMicros;
    }

    /** When the process last restarted, in microseconds of the loop's clock; 0 if it never has. */
    long bootedAtMicros() {
        return bootedAtMicros;
    }

    /** Sets the share of every core, from 0 to 1, that a noisy neighbour takes. Tasks in progress are not slowed. */
    void setStolenShare(double share) {
        stolenShare = share;
    }

    /** The total duration of all started tasks in microseconds. */
    double busyMicros() {
        return busyMicros;
    }

    /** The current speed of one core, relative to a standard core. */
    private double speed() {
        double warmUpProgress = profile.warmUpMicros() <= 0 || bootedAtMicros == 0
                ? 1
                : Math.min(1, (loop.nowMicros() - bootedAtMicros) / (double) profile.warmUpMicros());
        double warmUpFactor = profile.initialSpeedFraction() + (1 - profile.initialSpeedFraction()) * warmUpProgress;
        return profile.speed() * warmUpFactor * (1 - stolenShare);
    }

    private void startNext() {
        if (busyCores >= profile.cores() || waiting.isEmpty()) {
            return;
        }
        Task task = waiting.poll();
        busyCores++;
        long durationMicros = Math.max(1, (long) (task.workMicros() / Math.max(MIN_SPEED, speed())));
        busyMicros += durationMicros;
        loop.schedule(durationMicros, () -> {
            busyCores--;
            task.completion().run();
            startNext();
        });
    }
}
