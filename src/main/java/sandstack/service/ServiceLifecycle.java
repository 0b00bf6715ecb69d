package sandstack.service;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * How far this process is, and its hook on SIGTERM. The process serves at most once, and never after it has been told
 * to stop. Safe for use from any thread.
 */
final class ServiceLifecycle {
    /** How far the process is. */
    private enum Phase {
        /** No listener has been opened: told to stop, the process just ends. */
        STARTING,
        /** A client may be connected, or may connect: told to stop, the process drains. */
        SERVING,
        STOPPING
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /**
     * Registers what SIGTERM starts where the process serves by then. To be called before any listener is open: a
     * client that connected between the two would be reset by SIGTERM. Does not return where the process is ending
     * already.
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
            // SIGTERM has come already
            awaitEndOfProcess();
        }
    }

    /** Begins to serve; false where this process has been told to stop, and may open no listener any more. */
    boolean tryServe() {
        return phase.compareAndSet(Phase.STARTING, Phase.SERVING) || phase.get() == Phase.SERVING;
    }

    /** Gives the start up; returns whether the process had not been told to stop before. */
    boolean abortStart() {
        return phase.getAndSet(Phase.STOPPING) != Phase.STOPPING;
    }

    /** Blocks the calling thread for good. */
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
