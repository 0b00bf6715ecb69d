package sandstack.capacity;

/**
 * What an operator states of the servers, as a start for the estimates. Each figure may be 0, for not known.
 *
 * @param workPerRating work a second that a unit of rating does, in microseconds on a standard core
 * @param connectionsPerRating established connections that a unit of rating holds, over all relays
 * @param upperBound whether evidence may only lower what {@code workPerRating} gives, for effects that no relay can
 *     see, such as messages that are delayed behind the server
 * @param defaultConnectionLoad work a second of a connection that has not reported its load, in microseconds
 * @param groupOverheadConnections load that a group adds to its server, in average connections
 */
public record StatedCapacity(
        double workPerRating,
        double connectionsPerRating,
        boolean upperBound,
        double defaultConnectionLoad,
        double groupOverheadConnections) {
    /** Nothing is known: a server has capacity until evidence says otherwise. */
    public static final StatedCapacity NOTHING = new StatedCapacity(0, 0, false, 0, 0);

    /**
     * For servers whose ratings are sizes in cores. A load is work a second on a standard core, so a unit of rating
     * does a second of work a second; the servers answer lines at once however delayed their messages are, so evidence
     * may only lower that. The last two are defaults for what nothing reports: a sixteenth of a core for a connection,
     * and three connections for a group.
     */
    public static final StatedCapacity SIZE_BASED = new StatedCapacity(1_000_000, 0, true, 62_500, 3);

    private static final double MAX_VALUE = 1e15;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException naming the key in the settings file and its range
     */
    public StatedCapacity {
        requireInRange(workPerRating, "work");
        requireInRange(connectionsPerRating, "connections");
        requireInRange(defaultConnectionLoad, "load");
        requireInRange(groupOverheadConnections, "group");
    }

    /** The condition is false for a value that is not a number. */
    private static void requireInRange(double value, String name) {
        boolean inRange = value >= 0 && value <= MAX_VALUE;
        if (!inRange) {
            throw new IllegalArgumentException(name + " must be from 0 to 1e15");
        }
    }
}
