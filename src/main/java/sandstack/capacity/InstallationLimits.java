package sandstack.capacity;

/**
 * Limits that an installation sets for one relay; 0 sets no limit. Connections are counted with those being set up.
 *
 * @param maxRelayConnections connections on the relay
 * @param maxServerConnections connections from the relay to one server
 * @param maxGroupConnections connections of one group on the relay
 * @param maxSetupsPerSecond connections that the relay sets up at one server in a second
 */
public record InstallationLimits(
        int maxRelayConnections, int maxServerConnections, int maxGroupConnections, double maxSetupsPerSecond) {
    /** No limits. */
    public static final InstallationLimits NONE = new InstallationLimits(0, 0, 0, 0);

    private static final double MAX_CONNECTIONS = 1e9;
    private static final double MAX_SETUPS_PER_SECOND = 1e6;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException naming the key in the settings file and its range
     */
    public InstallationLimits {
        requireInRange(maxRelayConnections, MAX_CONNECTIONS, "relay");
        requireInRange(maxServerConnections, MAX_CONNECTIONS, "server");
        requireInRange(maxGroupConnections, MAX_CONNECTIONS, "group");
        requireInRange(maxSetupsPerSecond, MAX_SETUPS_PER_SECOND, "setups");
    }

    /** The condition is false for a value that is not a number. */
    private static void requireInRange(double value, double max, String name) {
        boolean inRange = value >= 0 && value <= max;
        if (!inRange) {
            throw new IllegalArgumentException(name + " must be from 0 to " + (long) max);
        }
    }

    /** Whether a count has reached a limit; never where the limit is 0. */
    public static boolean isReached(int limit, int count) {
        return limit > 0 && count >= limit;
    }
}
