package sandstack.handover;

import java.util.Collection;

/** Divides the descriptors of a relay among its processes. Pure arithmetic. */
public final class DescriptorQuota {
    private DescriptorQuota() {}

    /**
     * How many descriptors this process may use: its own and one part of those that are free. Each process grows by no
     * more than its part until it has seen the others again, so that together they never use more than there are.
     *
     * @param total of all processes together
     * @param ownInUse used by this one
     * @param othersInUse used by each of the others
     */
    public static int of(int total, int ownInUse, Collection<Integer> othersInUse) {
        int totalInUse =
                ownInUse + othersInUse.stream().mapToInt(Integer::intValue).sum();
        return ownInUse + Math.max(0, total - totalInUse) / (othersInUse.size() + 1);
    }
}
