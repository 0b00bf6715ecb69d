package sandstack.net;

/**
 * The heap that the relay's connections use together, and its limit. Counts what each connection needs while it is idle
 * and the buffers that hold its bytes, so that connections that buffer much are noticed before memory runs out. Used on
 * the event loop's thread only; the limit is set before the loop starts.
 */
public final class HeapBudget {
    /** Heap used by a relay without connections, garbage collection headroom included. */
    private static final long BASE_BYTES = 12L << 20;

    private long limitBytes = Long.MAX_VALUE;
    private long usedBytes;
    private Runnable reclaim = () -> {};

    /**
     * Returns the part of a heap that connections may use.
     *
     * @param maxHeapBytes maximum size of the process's heap
     */
    public static long forConnections(long maxHeapBytes) {
        return Math.max(0, maxHeapBytes - BASE_BYTES);
    }

    /** Sets the limit in bytes; there is none before this call. */
    public void setLimitBytes(long newLimitBytes) {
        limitBytes = newLimitBytes;
    }

    /** Sets the action that ends connections until the budget is no longer exceeded, as far as it may. */
    void setReclaim(Runnable newReclaim) {
        reclaim = newReclaim;
    }

    /** Counts a change of the heap in use, in bytes; negative if heap has been released. */
    public void add(long bytes) {
        usedBytes += bytes;
    }

    /** Ends connections if the budget is exceeded; these may include any that has no request in flight. */
    void enforce() {
        if (isExceeded()) {
            reclaim.run();
        }
    }

    /** Whether connections use more than the limit. */
    public boolean isExceeded() {
        return usedBytes > limitBytes;
    }

    /** By how many bytes the limit would be exceeded if {@code bytes} more were used; 0 or less if it would not. */
    long excessWith(long bytes) {
        return usedBytes + bytes - limitBytes;
    }

    /** The bytes in use. */
    public long usedBytes() {
        return usedBytes;
    }
}
