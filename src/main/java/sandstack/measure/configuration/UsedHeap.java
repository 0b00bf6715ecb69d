package sandstack.measure.configuration;

/** Measures the used heap of this process. */
final class UsedHeap {
    /**
     * By default the serial collector compacts the whole heap in one of four full collections
     * (MarkSweepAlwaysCompactCount).
     */
    private static final int COLLECTIONS = 4;

    private UsedHeap() {}

    /** Used heap in bytes, after as many full collections as a complete compaction needs. */
    static long bytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
