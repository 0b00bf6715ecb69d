package sandstack.service;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The phase of this process and its shutdown hook, which SIGTERM and {@link System#exit} start. Phases only advance, so
 * a process that is stopping never begins to serve. Thread-safe.
 */
final class ServiceLifecycle {
    /** The phases of the process, in order. */
    private enum Phase {
        /** No listener has been opened; SIGTERM ends the process without a drain. */
        STARTING,
        /** A listener may be open and clients may be connected; SIGTERM starts the drain. */
        SERVING,
        /** SIGTERM has arrived, the process has called {@link System#exit}, or the start has failed. */
        STOPPING
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /**
     * Registers the action that the shutdown hook runs if the process is serving. Must be called before any listener is
     * opened; otherwise SIGTERM would reset clients that connect before the registration. If the process is stopping
     * already, blocks until it ends.
     */
    void onShutdown(Runnable gracefulShutdown) {
        Thread hook = new Thread(
                () -> {
                    if (phase.getAndSet(Phase.STOPPING) == Phase.SERVING) {
                        gracefulShutdown.run();
                    }
                },
                "stop");
        try {
            Runtime.getRuntime().addShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the shutdown has begun already
            awaitEndOfProcess();
        }
    }

    /** Begins to serve; false if the process is stopping and must not open a listener. */
    boolean tryServe() {
        return phase.compareAndSet(Phase.STARTING, Phase.SERVING) || phase.get() == Phase.SERVING;
    }

    /** Aborts the start; returns whether the process was not stopping before. */
    boolean abortStart() {
        return phase.getAndSet(Phase.STOPPING) != Phase.STOPPING;
    }

    /** Blocks the calling thread until the process ends or the thread is interrupted. */
    static void awaitEndOfProcess() {
        await(new CountDownLatch(1));
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
