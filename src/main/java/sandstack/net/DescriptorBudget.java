package sandstack.net;

/**
 * Computes how many descriptors for clients and feed servers a process may use: the allowed number, reduced to what its
 * heap supports while all connections are idle. {@link HeapBudget} bounds what connections need beyond that.
 */
public final class DescriptorBudget {
    /**
     * Heap used by one socket of an established connection: half of the 5,554 bytes that {@code measure scale} reports
     * as relay.memory.heap, plus a margin of one sixth.
     */
    static final long SOCKET_BYTES = 3_250;
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
        long supportedByHeap = Math.max(MIN_DESCRIPTORS, HeapBudget.forConnections(heapBytes) / SOCKET_BYTES);
        return (int) Math.min(allowed, supportedByHeap);
    }
}
