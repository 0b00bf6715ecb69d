package sandstack.handover;

import java.util.Collection;

/** What one process may use of what several share. Pure arithmetic. */
public final class ResourceShares {
    private ResourceShares() {}

    /**
     * How many descriptors this process may use: its own and one part of those that are free. Each process grows by no
     * more than its part until it has seen the others again, so that together they never use more than there are.
     *
     * @param total of all processes together
     * @param own used by this one
     * @param others used by each of the others
     */
    public static int descriptors(int total, int own, Collection<Integer> others) {
        int used = own + others.stream().mapToInt(Integer::intValue).sum();
        return own + Math.max(0, total - used) / (others.size() + 1);
    }
}
