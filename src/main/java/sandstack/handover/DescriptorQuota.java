package sandstack.handover;

import java.util.Collection;

/** Divides the descriptors of a relay among its sibling processes. Stateless. */
public final class DescriptorQuota {
    private DescriptorQuota() {}

    /**
     * Returns how many descriptors this process may use: those in use, plus an equal share of the free ones. Each
     * process grows by at most its share until it has read the others' numbers again, so all processes together never
     * exceed the total.
     *
     * @param total number of descriptors for all processes together
     * @param ownInUse number of descriptors that this process uses
     * @param othersInUse number of descriptors that each other process uses
     */
    public static int of(int total, int ownInUse, Collection<Integer> othersInUse) {
        int totalInUse =
                ownInUse + othersInUse.stream().mapToInt(Integer::intValue).sum();
        return ownInUse + Math.max(0, total - totalInUse) / (othersInUse.size() + 1);
    }
}
