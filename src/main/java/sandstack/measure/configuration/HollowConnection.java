package sandstack.measure.configuration;

/** A connection of a relay with a control machine. One thread. */
final class HollowConnection {
    /** One direction: what is sent first arrives first, unless a fault delays it. */
    static final class Lane {
        long lastArrival;
    }

    private final long number;
    private final HollowRelay relay;
    private final HollowControlMachine machine;
    private final Lane toMachine = new Lane();
    private final Lane toRelay = new Lane();

    /**
     * Opens a connection.
     *
     * @param number unique in the fleet
     */
    HollowConnection(long number, HollowRelay relay, HollowControlMachine machine) {
        this.number = number;
        this.relay = relay;
        this.machine = machine;
    }

    HollowRelay relay() {
        return relay;
    }

    HollowControlMachine machine() {
        return machine;
    }

    Lane toMachine() {
        return toMachine;
    }

    Lane toRelay() {
        return toRelay;
    }

    /** The relay's name at the control machine. */
    String peer() {
        return Long.toString(number);
    }
}
