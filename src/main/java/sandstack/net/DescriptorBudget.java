package sandstack.net;

/**
 * Computes how many descriptors for clients and feed servers a process may use: the allowed number, reduced to what its
 * heap supports. Without that second bound a relay with many descriptors runs out of memory instead of rejecting
 * clients.
 */
public final class DescriptorBudget {
    /** Heap used by a relay without connections, garbage collection headroom included. */
    static final long BASE_BYTES = 12L << 20;
    /**
     * Heap used by an established connection: the 5,554 bytes that {@code measure scale} reports as relay.memory.heap,
     * plus a margin of one sixth.
     */
    static final long CONNECTION_BYTES = 6_500;
    /** An established connection has one socket for its client and one for its feed server. */
    static final int DESCRIPTORS_PER_CONNECTION = 2;
    /** Lower bound for heaps smaller than any that {@code measure scale} covers. */
    static final int MIN_DESCRIPTORS = 16;

    private DescriptorBudget() {}

    /**
     * Computes the budget.
     *
     * @param allowed number of descriptors that the process may use for connections
     * @param heapBytes maximum size of the process's heap
     * @return number of descriptors, at most {@code allowed}
     */
    public static int of(int allowed, long heapBytes) {
        long connections = Math.max(0, heapBytes - BASE_BYTES) / CONNECTION_BYTES;
        long supportedByHeap = Math.max(MIN_DESCRIPTORS, connections * DESCRIPTORS_PER_CONNECTION);
        return (int) Math.min(allowed, supportedByHeap);
    }
}
