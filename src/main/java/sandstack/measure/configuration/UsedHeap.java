package sandstack.measure.configuration;

/** The used heap of this process. */
final class UsedHeap {
    /** The serial collector compacts completely in one of four full collections (MarkSweepAlwaysCompactCount). */
    private static final int COLLECTIONS = 4;

    private UsedHeap() {}

    /** Used bytes after full collections. */
    static long bytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
