package sandstack.capacity;

/**
 * What an operator knows of the feed servers: a start for the estimates. Every figure may be 0, for not known.
 *
 * @param workPerRating work a second that a unit of rating does, in microseconds on a standard core
 * @param connectionsPerRating standing connections that a unit of rating holds, over all relays
 * @param upperBound evidence only lowers what {@code work} gives: it knows something that no relay can see, such as
 *     messages that are late behind the server
 * @param defaultConnectionLoad work a second of a connection that has not told its load, in microseconds
 * @param groupOverheadConnections what a server pays for a group, in mean connections
 */
public record StatedCapacity(
        double workPerRating,
        double connectionsPerRating,
        boolean upperBound,
        double defaultConnectionLoad,
        double groupOverheadConnections) {
    /** Nothing is known: there is room until evidence says otherwise. */
    public static final StatedCapacity NOTHING = new StatedCapacity(0, 0, false, 0, 0);

    /**
     * What holds of every feed server whose rating is a size. By the platform's pages a load is work a second in
     * microseconds of a standard core, so a unit of rating does a second of work a second; it answers lines at once however
     * late its messages are, so evidence may only lower that. The last two are guesses for what nothing tells, the same for
     * every deployment: a connection takes a sixteenth of a core until some have told their loads, and a group as much
     * as three connections.
     */
    public static final StatedCapacity SIZE_BASED = new StatedCapacity(1_000_000, 0, true, 62_500, 3);

    /** Refuses what makes no sense with an {@link IllegalArgumentException} that names the value. */
    public StatedCapacity {
        require(workPerRating, "work");
        require(connectionsPerRating, "connections");
        require(defaultConnectionLoad, "load");
        require(groupOverheadConnections, "group");
    }

    private static void require(double value, String name) {
        if (!(value >= 0 && value <= 1e15)) {
            throw new IllegalArgumentException(name + " must be from 0 to 1e15");
        }
    }
}
