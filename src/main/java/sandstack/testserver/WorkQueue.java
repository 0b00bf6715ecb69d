package sandstack.testserver;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The simulated processor of a {@link FakeFeedServer}: work waits in one queue for the first free core. Cores are
 * slower while the server warms up and while a noisy neighbour takes a part of them. Used on the thread of its loop.
 */
final class WorkQueue {
    /** Keeps the duration of work finite when a neighbour takes all of every core. */
    private static final double MIN_SPEED = 1e-6;

    private final TestServerLoop loop;
    private final ServerProfile profile;
    private final Deque<Task> waiting = new ArrayDeque<>();
    private int busyCores;
    private double stolenShare;
    private long bootedAtMicros;
    private double busyMicros;

    /** Work in microseconds of a standard core, and what follows once it is done. */
    private record Task(long workMicros, Runnable completion) {}

    WorkQueue(TestServerLoop loop, ServerProfile machine) {
        this.loop = loop;
        this.profile = machine;
    }

    /** Does work and then runs the completion, which runs at once where there is no work. */
    void submit(long workMicros, Runnable completion) {
        if (workMicros <= 0) {
            completion.run();
            return;
        }
        waiting.add(new Task(workMicros, completion));
        startNext();
    }

    /** Discards the work that has not started. */
    void clear() {
        waiting.clear();
    }

    /** Begins the warm-up of a process that has just started. */
    void restarted(long nowMicros) {
        bootedAtMicros = nowMicros;
    }

    /** When the process last restarted; 0 where it has not. */
    long bootedAtMicros() {
        return bootedAtMicros;
    }

    /** Sets the part of every core, from 0 to 1, that another program takes. */
    void setStolenShare(double share) {
        stolenShare = share;
    }

    /** How long cores have been busy, summed over all of them. */
    double busyMicros() {
        return busyMicros;
    }

    private double speed() {
        double warmedUp = profile.warmUpMicros() <= 0 || bootedAtMicros == 0
                ? 1
                : Math.min(1, (loop.nowMicros() - bootedAtMicros) / (double) profile.warmUpMicros());
        double warmUpFactor = profile.initialSpeedFraction() + (1 - profile.initialSpeedFraction()) * warmedUp;
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
