package sandstack.testserver;

/**
 * The simulated machine of a fake feed server and its connection limit.
 *
 * @param cores number of set-ups and lines processed concurrently
 * @param speed speed of one core, relative to a standard core
 * @param maxConnections maximum number of connections, established or in set-up; 0 for no limit
 * @param shedsNewest whether a connection above the limit is set up and then reset; otherwise its request is rejected
 * @param setupMicros work of one connection set-up, in microseconds of a standard core
 * @param lineMicros work of one line, in microseconds of a standard core
 * @param initialSpeedFraction fraction of the full speed directly after a restart
 * @param warmUpMicros microseconds from a restart until full speed; 0 for no warm-up
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
    /** No connection limit and no work: every request is accepted and every line echoed at once. */
    public static final ServerProfile UNLIMITED = new ServerProfile(64, 1, 0, false, 0, 0, 1, 0);

    /** Returns a copy with this connection limit; 0 for no limit. */
    public ServerProfile withConnectionLimit(int maxConnections, boolean shedNewest) {
        return new ServerProfile(
                cores, speed, maxConnections, shedNewest, setupMicros, lineMicros, initialSpeedFraction, warmUpMicros);
    }

    /** Returns a copy with this number of cores and this work per set-up and per line, in microseconds. */
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
