package sandstack.measure.configuration;

/** What happens to messages between two processes on their way. */
public interface NetworkFaults {
    /** A network that loses nothing. */
    NetworkFaults NONE = new NetworkFaults() {};

    /** Whether anything gets from one to the other now. */
    default boolean canReach(HollowProcess from, HollowProcess to) {
        return true;
    }

    /** How often this message arrives: 0 where it is lost, 2 where it is duplicated. */
    default int copies(HollowProcess from, HollowProcess to) {
        return 1;
    }

    /** Microseconds that this copy takes beyond the usual; drawn for each, so copies pass each other. */
    default long extraDelayMicros(HollowProcess from, HollowProcess to) {
        return 0;
    }
}
