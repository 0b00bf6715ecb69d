package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Lets each timer fire up to a quarter later than asked. MicroRaft's followers look for their leader once in each
 * heartbeat period; machines that do so in step stand for election in step, and split the votes again and again.
 */
final class JitteredExecutor implements RaftNodeExecutor {
    private static final double MOST_JITTER = 0.25;

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
        long micros = unit.toMicros(delay);
        long jitter = (long) (micros * MOST_JITTER * random.nextDouble());
        executor.schedule(task, micros + jitter, TimeUnit.MICROSECONDS);
    }
}
