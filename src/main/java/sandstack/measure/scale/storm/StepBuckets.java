package sandstack.measure.scale.storm;

import java.util.Arrays;

/** Clients by the step at which each comes next. One thread; O(1) a client. */
final class StepBuckets {
    private static final int[] NONE = {};
    private static final int FIRST_ROOM = 16;

    private final int[][] clients;
    private final int[] counts;

    /** What is due later than the last step is forgotten. */
    StepBuckets(int steps) {
        clients = new int[steps][];
        counts = new int[steps];
    }

    /** The client comes at this step, but not before the earliest. */
    void add(int earliest, int step, int client) {
        int at = Math.max(earliest, step);
        if (at >= clients.length) {
            return;
        }
        if (clients[at] == null) {
            clients[at] = new int[FIRST_ROOM];
        } else if (counts[at] == clients[at].length) {
            clients[at] = Arrays.copyOf(clients[at], 2 * counts[at]);
        }
        clients[at][counts[at]++] = client;
    }

    /** Who comes at this step; the caller's to keep. */
    int[] take(int step) {
        int[] taken = clients[step] == null ? NONE : Arrays.copyOf(clients[step], counts[step]);
        clients[step] = null;
        return taken;
    }
}
