package sandstack.capacity;

/**
 * A server capacity that the operator states, with which the estimates start. Each number may be 0, which means that it
 * is not known.
 *
 * @param workPerRating work per second of a unit of rating, in microseconds on a standard core
 * @param connectionsPerRating established connections that a unit of rating holds, from all relays together
 * @param upperBound whether {@code workPerRating} is an upper bound that evidence can only lower; for effects that no
 *     relay can observe, such as messages that are delayed behind the server
 * @param defaultConnectionLoad work per second of a connection that has not reported its load, in microseconds
 * @param groupOverheadConnections load that a group adds to its server, as a number of average connections
 */
public record StatedCapacity(
        double workPerRating,
        double connectionsPerRating,
        boolean upperBound,
        double defaultConnectionLoad,
        double groupOverheadConnections) {
    /** Nothing is known: a server has free capacity until there is evidence of a limit. */
    public static final StatedCapacity UNKNOWN = new StatedCapacity(0, 0, false, 0, 0);

    /**
     * For servers whose ratings are sizes in cores. A load is work per second on a standard core, so a unit of rating
     * does one second of work per second. This work is an upper bound, because the servers answer protocol lines at
     * once however long their messages are delayed. The last two arguments are defaults for what is not reported: a
     * sixteenth of a core per connection, and three connections per group.
     */
    public static final StatedCapacity SIZE_BASED = new StatedCapacity(1_000_000, 0, true, 62_500, 3);

    private static final double MAX_VALUE = 1e15;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names its key in the settings file and
     *     the range
     */
    public StatedCapacity {
        requireInRange(workPerRating, "work");
        requireInRange(connectionsPerRating, "connections");
        requireInRange(defaultConnectionLoad, "load");
        requireInRange(groupOverheadConnections, "group");
    }

    /** Rejects NaN too, for which the condition is false. */
    private static void requireInRange(double value, String name) {
        boolean inRange = value >= 0 && value <= MAX_VALUE;
        if (!inRange) {
            throw new IllegalArgumentException(name + " must be from 0 to 1e15");
        }
    }
}
