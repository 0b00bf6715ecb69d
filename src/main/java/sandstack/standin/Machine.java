package sandstack.standin;

/**
 * What a stand-in feed server is like.
 *
 * @param cores how many connections or lines it works on at once
 * @param speed work done in a microsecond by one core, against a standard core
 * @param cap standing connections that it holds; 0 for no limit
 * @param sheds over its cap it drops its newest connection; otherwise it turns the next away
 * @param setup work to set a connection up, in microseconds
 * @param line work to answer a line, in microseconds
 * @param coldFrom part of its speed that it has at its start
 * @param warmAfter microseconds after which it has all of it
 */
public record Machine(
        int cores, double speed, int cap, boolean sheds, long setup, long line, double coldFrom, long warmAfter) {
    /** Takes everything at once. */
    public static final Machine IDLE = new Machine(64, 1, 0, false, 0, 0, 1, 0);

    /** The same with a cap. */
    public Machine holding(int connections, boolean shedding) {
        return new Machine(cores, speed, connections, shedding, setup, line, coldFrom, warmAfter);
    }

    /** The same with this work for a set-up and a line. */
    public Machine working(int atOnce, long forSetup, long forLine) {
        return new Machine(atOnce, speed, cap, sheds, forSetup, forLine, coldFrom, warmAfter);
    }
}
