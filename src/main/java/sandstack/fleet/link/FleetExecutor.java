package sandstack.fleet.link;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import sandstack.concurrent.Futures;

/**
 * The fleet's thread: the single thread on which the membership runs. Tasks must not block. If a task throws, the
 * exception is logged and the thread continues. All methods may be called on any thread.
 */
final class FleetExecutor {
    private static final String NAME = "fleet";

    private final ScheduledThreadPoolExecutor executor;
    private final Scheduler scheduler;
    private final FleetWarningLog warnings;

    FleetExecutor(FleetWarningLog warnings) {
        this.warnings = warnings;
        this.executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, NAME);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        this.scheduler = Schedulers.fromExecutorService(executor, NAME);
    }

    /** The monotonic clock of the membership, in microseconds. */
    static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /** The fleet's thread as a scheduler for the library's reactive streams. */
    Scheduler scheduler() {
        return scheduler;
    }

    /** Queues a task for the fleet's thread; drops it after a shutdown. */
    void execute(Runnable task) {
        try {
            executor.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            // shut down: this member has left the fleet
        }
    }

    void scheduleAtFixedRate(Runnable task, long intervalMicros) {
        // runGuarded handles failures; a shutdown of the executor ends the task
        Futures.ignore(executor.scheduleAtFixedRate(() -> runGuarded(task), 0, intervalMicros, TimeUnit.MICROSECONDS));
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            warnings.warning("task failed error=\"" + e + "\"");
        }
    }

    boolean isShutdown() {
        return executor.isShutdown();
    }

    void shutdownNow() {
        executor.shutdownNow();
    }
}
