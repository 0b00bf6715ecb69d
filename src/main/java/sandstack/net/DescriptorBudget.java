package sandstack.net;

/**
 * How many descriptors of clients and feed servers a process may hold: as many as it is allowed, and no more than its
 * heap supports. Without the second bound a relay with many descriptors runs out of memory instead of shedding load.
 */
public final class DescriptorBudget {
    /** Heap of a relay without connections, with the headroom of the garbage collector. */
    static final long BASE_BYTES = 12L << 20;
    /**
     * Heap of an established connection: 5,554 bytes by {@code measure scale} (relay.memory.heap), and a sixth more.
     */
    static final long CONNECTION_BYTES = 6_500;
    /** An established connection has one socket to its client and one to its feed server. */
    static final int DESCRIPTORS_PER_CONNECTION = 2;
    /** Lower bound, for heaps smaller than any that was measured. */
    static final int MIN_DESCRIPTORS = 16;

    private DescriptorBudget() {}

    /**
     * Computes the budget.
     *
     * @param allowed descriptors that the process may use for connections
     * @param heapBytes the maximum size of its heap
     * @return descriptors, at most {@code allowed}
     */
    public static int of(int allowed, long heapBytes) {
        long connections = Math.max(0, heapBytes - BASE_BYTES) / CONNECTION_BYTES;
        long supportedByHeap = Math.max(MIN_DESCRIPTORS, connections * DESCRIPTORS_PER_CONNECTION);
        return (int) Math.min(allowed, supportedByHeap);
    }
}
