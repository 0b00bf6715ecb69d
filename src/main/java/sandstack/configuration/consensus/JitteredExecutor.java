package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Delays each timer by up to a quarter at random. MicroRaft's followers check for their leader once in each heartbeat
 * period; machines that do so in step become candidates in step, and split the votes repeatedly (Raft randomizes
 * election timeouts for this reason, section 5.2 of its paper).
 */
final class JitteredExecutor implements RaftNodeExecutor {
    /** The largest delay, as a share of the timer's own. */
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
