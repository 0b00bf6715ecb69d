package sandstack.net;

/**
 * How many descriptors of clients and feed servers a process may hold: as many as it is allowed, and no more than its
 * heap bears. Without the second bound a relay with many descriptors runs out of memory in place of refusing.
 */
public final class DescriptorBudget {
    /** Heap of a relay that holds no connection, with what the collector needs to work. */
    static final long BASE_BYTES = 12L << 20;
    /** Heap of a standing connection: 5,554 bytes by {@code measure scale} (relay.memory.heap), and a sixth more. */
    static final long CONNECTION_BYTES = 6_500;
    /** A standing connection has one to its client and one to its feed server. */
    static final int DESCRIPTORS_PER_CONNECTION = 2;
    /** A smaller heap than any that was measured still serves somebody. */
    static final int LEAST = 16;

    private DescriptorBudget() {}

    /**
     * The budget.
     *
     * @param allowed descriptors that the process may use for connections
     * @param heapBytes the most that its heap may grow to
     * @return descriptors, no more than are allowed
     */
    public static int of(int allowed, long heapBytes) {
        long connections = Math.max(0, heapBytes - BASE_BYTES) / CONNECTION_BYTES;
        long borne = Math.max(LEAST, connections * DESCRIPTORS_PER_CONNECTION);
        return (int) Math.min(allowed, borne);
    }
}
