package sandstack.capacity;

/**
 * What an installation allows at the most; 0 sets no limit. Counted from this relay alone.
 *
 * @param relay standing connections, and those being set up, on the relay
 * @param server the same at one feed server
 * @param group the same of one group
 * @param setups set-ups a second at one feed server
 */
public record Limits(int relay, int server, int group, double setups) {
    /** No limits. */
    public static final Limits NONE = new Limits(0, 0, 0, 0);

    /** Refuses what makes no sense with an {@link IllegalArgumentException} that names the value. */
    public Limits {
        require(relay, 1e9, "relay");
        require(server, 1e9, "server");
        require(group, 1e9, "group");
        require(setups, 1e6, "setups");
    }

    private static void require(double value, double most, String name) {
        if (!(value >= 0 && value <= most)) {
            throw new IllegalArgumentException(name + " must be from 0 to " + (long) most);
        }
    }

    /** Whether a count is at its limit. */
    public static boolean reached(int limit, int count) {
        return limit > 0 && count >= limit;
    }
}
