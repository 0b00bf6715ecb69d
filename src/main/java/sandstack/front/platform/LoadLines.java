package sandstack.front.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Tells the two figures apart that feed servers send as {@code LOAD X}: the load of a connection, in microseconds of
 * work a second, and, where the settings say that delays are told, the milliseconds that a message takes there now.
 * The latter comes once a second for as long as it is long, on one connection of each relay. Taken for a load, it
 * makes the heaviest connection of a jammed feed server weigh next to nothing, and the jam draws more.
 *
 * <p>Owned by the front, on the loop's thread; O(1) a line, one small record a feed server. The method is our own: by
 * unit where that is enough, else by the pace.
 */
final class LoadLines {
    /**
     * Below this it is milliseconds: a connection that asks for less than a thousandth of a core moves nothing, and a
     * message that takes a second or more has taken less in the second before.
     */
    private static final double LEAST_LOAD = 1_000;
    /** Milliseconds that no client waits for a message. Above them it is a load whenever it comes. */
    private static final double LONGEST_DELAY = 10_000;

    private static final long PACE = 1_000_000;
    private static final long PACE_SLACK = 20_000;
    private static final int MOST_KEPT = 4096;

    private final BooleanSupplier delaysTold;
    private final Map<String, Long> toldAt = new HashMap<>();

    /**
     * Creates a reader that has been told no figure yet.
     *
     * @param delaysTold whether feed servers tell delays at all, as the settings have it now
     */
    LoadLines(BooleanSupplier delaysTold) {
        this.delaysTold = delaysTold;
    }

    /**
     * Whether this figure, just told by this feed server, is a delay.
     *
     * @param now microseconds
     */
    boolean isDelay(String server, double told, long now) {
        if (!delaysTold.getAsBoolean() || !(told >= 0) || told >= LONGEST_DELAY) {
            return false;
        }
        if (told >= LEAST_LOAD) {
            Long before = toldAt.get(server);
            if (before == null || Math.abs(now - before - PACE) > PACE_SLACK) {
                return false;
            }
        }
        if (toldAt.size() >= MOST_KEPT) {
            // feed servers come and go for as long as the relay runs
            toldAt.values().removeIf(at -> now - at > PACE + PACE_SLACK);
        }
        toldAt.put(server, now);
        return true;
    }
}
