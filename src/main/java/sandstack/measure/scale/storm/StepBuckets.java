package sandstack.measure.scale.storm;

import java.util.Arrays;

/** A calendar queue: clients by the step of their next attempt. O(1) per client; not thread-safe. */
final class StepBuckets {
    private static final int[] NONE = {};
    private static final int INITIAL_CAPACITY = 16;

    private final int[][] clients;
    private final int[] counts;

    /** Creates buckets for {@code steps} steps; attempts at later steps are dropped. */
    StepBuckets(int steps) {
        clients = new int[steps][];
        counts = new int[steps];
    }

    /** Schedules a client's attempt at {@code step}, or at {@code earliest} if that is later. */
    void add(int earliest, int step, int client) {
        int dueStep = Math.max(earliest, step);
        if (dueStep >= clients.length) {
            return;
        }
        if (clients[dueStep] == null) {
            clients[dueStep] = new int[INITIAL_CAPACITY];
        } else if (counts[dueStep] == clients[dueStep].length) {
            clients[dueStep] = Arrays.copyOf(clients[dueStep], 2 * counts[dueStep]);
        }
        clients[dueStep][counts[dueStep]++] = client;
    }

    /** Removes and returns the clients that are due at a step. */
    int[] take(int step) {
        int[] taken = clients[step] == null ? NONE : Arrays.copyOf(clients[step], counts[step]);
        clients[step] = null;
        return taken;
    }
}
