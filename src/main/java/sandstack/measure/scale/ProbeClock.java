package sandstack.measure.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Measures processor time of the calling thread and live heap within a probe process. */
final class ProbeClock {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final double NANOS_PER_MICRO = 1_000;

    private ProbeClock() {}

    /** A task to measure. */
    interface Task {
        void run() throws Exception;
    }

    /** Processor time of the calling thread since its start, in microseconds. */
    static double threadCpuMicros() {
        return THREADS.getCurrentThreadCpuTime() / NANOS_PER_MICRO;
    }

    /** Processor time per iteration in microseconds, as the median of several rounds. */
    static double medianMicros(int rounds, int iterationsPerRound, Task work) throws Exception {
        double[] microsPerIteration = new double[rounds];
        for (int round = 0; round < rounds; round++) {
            double before = threadCpuMicros();
            for (int i = 0; i < iterationsPerRound; i++) {
                work.run();
            }
            microsPerIteration[round] = (threadCpuMicros() - before) / iterationsPerRound;
        }
        Arrays.sort(microsPerIteration);
        return microsPerIteration[rounds / 2];
    }

    /**
     * Heap in bytes after a garbage collection. The result of the first call includes objects that the call itself
     * allocates.
     */
    static long liveBytes() {
        System.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
