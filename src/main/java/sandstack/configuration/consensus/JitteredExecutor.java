package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Extends the delay of each timer by a random share of up to a quarter. MicroRaft's followers check for a leader once
 * per heartbeat period; machines that check at the same time become candidates at the same time, and split the vote
 * repeatedly (Raft randomizes election timeouts for this reason, section 5.2 of its paper).
 */
final class JitteredExecutor implements RaftNodeExecutor {
    /** The largest extension, as a ratio of the timer's delay. */
    private static final double MAX_JITTER_RATIO = 0.25;

    private final RaftNodeExecutor executor;
    private final Random random;

    JitteredExecutor(RaftNodeExecutor executor, Random random) {
        this.executor = executor;
        this.random = random;
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        executor.submit(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        long delayMicros = unit.toMicros(delay);
        long jitterMicros = (long) (delayMicros * MAX_JITTER_RATIO * random.nextDouble());
        executor.schedule(task, delayMicros + jitterMicros, TimeUnit.MICROSECONDS);
    }
}
