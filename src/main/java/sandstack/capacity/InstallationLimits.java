package sandstack.capacity;

/**
 * What an installation allows at the most; 0 sets no limit. Counted from this relay alone.
 *
 * @param maxRelayConnections standing connections, and those being set up, on the relay
 * @param maxServerConnections the same at one feed server
 * @param maxGroupConnections the same of one group
 * @param maxSetupsPerSecond set-ups a second at one feed server
 */
public record InstallationLimits(
        int maxRelayConnections, int maxServerConnections, int maxGroupConnections, double maxSetupsPerSecond) {
    /** No limits. */
    public static final InstallationLimits NONE = new InstallationLimits(0, 0, 0, 0);

    /** Refuses what makes no sense with an {@link IllegalArgumentException} that names the value. */
    public InstallationLimits {
        require(maxRelayConnections, 1e9, "relay");
        require(maxServerConnections, 1e9, "server");
        require(maxGroupConnections, 1e9, "group");
        require(maxSetupsPerSecond, 1e6, "setups");
    }

    private static void require(double value, double most, String name) {
        if (!(value >= 0 && value <= most)) {
            throw new IllegalArgumentException(name + " must be from 0 to " + (long) most);
        }
    }

    /** Whether a count is at its limit. */
    public static boolean isReached(int limit, int count) {
        return limit > 0 && count >= limit;
    }
}
