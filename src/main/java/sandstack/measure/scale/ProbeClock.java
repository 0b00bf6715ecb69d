package sandstack.measure.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Processor time of the calling thread and the heap of this process, for a probe that has both for itself. */
final class ProbeClock {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final double NANOS_PER_MICRO = 1_000;

    private ProbeClock() {}

    /** What is measured. */
    interface Task {
        void run() throws Exception;
    }

    /** Processor time of the calling thread since its start. */
    static double threadCpuMicros() {
        return THREADS.getCurrentThreadCpuTime() / NANOS_PER_MICRO;
    }

    /** Microseconds of processor time that one of these took: the median of some rounds of so many. */
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

    /** Bytes that all objects take which are still needed. The first call in a process tells some that it takes itself. */
    static long liveBytes() {
        System.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
