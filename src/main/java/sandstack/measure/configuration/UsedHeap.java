package sandstack.measure.configuration;

/** What this process keeps in its heap. */
final class UsedHeap {
    /** The serial collector leaves some that is dead in three of four full collections (MarkSweepAlwaysCompactCount). */
    private static final int COLLECTIONS = 4;

    private UsedHeap() {}

    /** Bytes that are in use after collection. */
    static long bytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
