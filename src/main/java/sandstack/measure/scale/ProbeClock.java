package sandstack.measure.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Processor time of the calling thread and the heap of this process, for a probe that has both for itself. */
final class ProbeClock {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final double NANOS_IN_MICRO = 1_000;

    private ProbeClock() {}

    /** What is measured. */
    interface Work {
        void run() throws Exception;
    }

    /** Processor time of the calling thread since its start. */
    static double threadMicros() {
        return THREADS.getCurrentThreadCpuTime() / NANOS_IN_MICRO;
    }

    /** Microseconds of processor time that one of these took: the median of some rounds of so many. */
    static double microsEach(int rounds, int timesARound, Work work) throws Exception {
        double[] each = new double[rounds];
        for (int round = 0; round < rounds; round++) {
            double before = threadMicros();
            for (int i = 0; i < timesARound; i++) {
                work.run();
            }
            each[round] = (threadMicros() - before) / timesARound;
        }
        Arrays.sort(each);
        return each[rounds / 2];
    }

    /** Bytes that all objects take which are still needed. The first call in a process tells some that it takes itself. */
    static long liveBytes() {
        System.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
