package sandstack.measure.configuration;

/** A simulated connection of a relay to a control machine. Not thread-safe. */
final class HollowConnection {
    /** One direction of a connection. Frames arrive in order unless a fault delays one. */
    static final class Direction {
        long lastArrivalMicros;
    }

    private final long number;
    private final HollowConfigurationRelay relay;
    private final HollowControlMachine machine;
    private final Direction toMachine = new Direction();
    private final Direction toRelay = new Direction();

    /**
     * Creates an open connection.
     *
     * @param number unique in the fleet
     */
    HollowConnection(long number, HollowConfigurationRelay relay, HollowControlMachine machine) {
        this.number = number;
        this.relay = relay;
        this.machine = machine;
    }

    HollowConfigurationRelay relay() {
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

    /** The name by which the control machine's publisher identifies the connection. */
    String peer() {
        return Long.toString(number);
    }
}
