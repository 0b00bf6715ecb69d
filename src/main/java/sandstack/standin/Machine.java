package sandstack.standin;

/**
 * The behaviour of a fake feed server.
 *
 * @param cores how many set-ups and lines are worked on at once
 * @param speed of one core, relative to a standard core
 * @param cap maximum of established connections; 0 for no limit
 * @param sheds whether it drops the newest connection above the limit, rather than reject it
 * @param setup work to set a connection up, in microseconds
 * @param line work to answer a line, in microseconds
 * @param coldFrom fraction of the full speed right after a restart
 * @param warmAfter microseconds from a restart to full speed
 */
public record Machine(
        int cores, double speed, int cap, boolean sheds, long setup, long line, double coldFrom, long warmAfter) {
    /** Accepts any number of connections and takes no time for them. */
    public static final Machine IDLE = new Machine(64, 1, 0, false, 0, 0, 1, 0);

    /** A copy with a connection limit; 0 for none. */
    public Machine holding(int maxConnections, boolean shedNewest) {
        return new Machine(cores, speed, maxConnections, shedNewest, setup, line, coldFrom, warmAfter);
    }

    /** A copy with this many cores and this work for each set-up and line, in microseconds. */
    public Machine working(int coreCount, long setupMicros, long lineMicros) {
        return new Machine(coreCount, speed, cap, sheds, setupMicros, lineMicros, coldFrom, warmAfter);
    }
}
