package sandstack.capacity;

/**
 * Limits that an installation sets for one relay; 0 means no limit. Connections that are being set up count as
 * connections; the limits of the relay and of a group count each request from its arrival.
 *
 * @param maxRelayConnections connections of the relay
 * @param maxServerConnections connections from the relay to one server
 * @param maxGroupConnections connections of one group on the relay
 * @param maxSetupsPerSecond connections that the relay sets up at one server per second
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
     * @throws IllegalArgumentException if a value is out of range; the message names its key in the settings file and
     *     the range
     */
    public InstallationLimits {
        requireInRange(maxRelayConnections, MAX_CONNECTIONS, "relay");
        requireInRange(maxServerConnections, MAX_CONNECTIONS, "server");
        requireInRange(maxGroupConnections, MAX_CONNECTIONS, "group");
        requireInRange(maxSetupsPerSecond, MAX_SETUPS_PER_SECOND, "setups");
    }

    /** Rejects NaN too, for which the condition is false. */
    private static void requireInRange(double value, double max, String name) {
        boolean inRange = value >= 0 && value <= max;
        if (!inRange) {
            throw new IllegalArgumentException(name + " must be from 0 to " + (long) max);
        }
    }

    /** Whether a count has reached a limit; false for limit 0, which means no limit. */
    public static boolean isReached(int limit, int count) {
        return limit > 0 && count >= limit;
    }
}
