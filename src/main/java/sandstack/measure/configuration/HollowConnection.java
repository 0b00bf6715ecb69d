package sandstack.measure.configuration;

/** A connection of a relay with a control machine. Not thread-safe. */
final class HollowConnection {
    /** One direction of a connection, which keeps the order of frames unless a fault delays one. */
    static final class Direction {
        long lastArrivalMicros;
    }

    private final long number;
    private final HollowRelay relay;
    private final HollowControlMachine machine;
    private final Direction toMachine = new Direction();
    private final Direction toRelay = new Direction();

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

    Direction toMachine() {
        return toMachine;
    }

    Direction toRelay() {
        return toRelay;
    }

    /** The relay's name at the control machine. */
    String peer() {
        return Long.toString(number);
    }
}
