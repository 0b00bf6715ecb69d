package sandstack.testserver;

/**
 * The behaviour of a fake feed server.
 *
 * @param cores how many set-ups and lines are worked on at once
 * @param speed of one core, relative to a standard core
 * @param maxConnections maximum of established connections; 0 for no limit
 * @param shedsNewest whether it drops the newest connection above the limit, rather than reject it
 * @param setupMicros work to set a connection up, in microseconds
 * @param lineMicros work to answer a line, in microseconds
 * @param initialSpeedFraction fraction of the full speed right after a restart
 * @param warmUpMicros microseconds from a restart to full speed
 */
public record ServerProfile(
        int cores,
        double speed,
        int maxConnections,
        boolean shedsNewest,
        long setupMicros,
        long lineMicros,
        double initialSpeedFraction,
        long warmUpMicros) {
    /** Accepts any number of connections and takes no time for them. */
    public static final ServerProfile UNLIMITED = new ServerProfile(64, 1, 0, false, 0, 0, 1, 0);

    /** A copy with a connection limit; 0 for none. */
    public ServerProfile withConnectionLimit(int maxConnections, boolean shedNewest) {
        return new ServerProfile(
                cores, speed, maxConnections, shedNewest, setupMicros, lineMicros, initialSpeedFraction, warmUpMicros);
    }

    /** A copy with this many cores and this work for each set-up and line, in microseconds. */
    public ServerProfile withWork(int coreCount, long setupMicros, long lineMicros) {
        return new ServerProfile(
                coreCount,
                speed,
                maxConnections,
                shedsNewest,
                setupMicros,
                lineMicros,
                initialSpeedFraction,
                warmUpMicros);
    }
}
