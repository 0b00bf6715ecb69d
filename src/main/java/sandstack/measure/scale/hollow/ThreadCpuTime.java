package sandstack.measure.scale.hollow;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Accumulates the processor time of the calling thread in measured tasks. Not thread-safe. */
final class ThreadCpuTime {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private long nanos;
    private long calls;

    void run(Runnable work) {
        long startNanos = THREADS.getCurrentThreadCpuTime();
        work.run();
        nanos += THREADS.getCurrentThreadCpuTime() - startNanos;
        calls++;
    }

    double millis() {
        return nanos / 1e6;
    }

    long calls() {
        return calls;
    }

    double millisPerCall() {
        return calls == 0 ? 0 : millis() / calls;
    }

    void clear() {
        nanos = 0;
        calls = 0;
    }
}
