package sandstack.measure.configuration;

/** Faults of the simulated network. */
public interface NetworkFaults {
    /** No faults. */
    NetworkFaults NONE = new NetworkFaults() {};

    /** Whether messages from one process reach the other now. */
    default boolean canReach(HollowProcess from, HollowProcess to) {
        return true;
    }

    /** Number of deliveries of a message: 0 for a loss, 2 for a duplicate. */
    default int copies(HollowProcess from, HollowProcess to) {
        return 1;
    }

    /** Additional latency of one delivery, which can reorder messages. */
    default long extraDelayMicros(HollowProcess from, HollowProcess to) {
        return 0;
    }
}
