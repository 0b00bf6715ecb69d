package sandstack.capacity;

import java.util.Arrays;

/**
 * Computes the fraction that each class or tenant sheds if not all load can be served. Its methods depend on their
 * arguments only.
 */
public final class SheddingPlan {
    /** Marks a class whose fraction is not computed yet. */
    private static final double UNASSIGNED = -1;
    /** Standard deviations by which a count must exceed its expected value to count as excess. */
    private static final double EXCESS_DEVIATIONS = 2;

    private SheddingPlan() {}

    /**
     * The fraction that each class sheds so that all classes together shed {@code shedFraction} of the total load.
     * Classes with the lowest density shed first, and at most one class sheds only a part of its load. O(classes
     * squared).
     *
     * @param shedFraction fraction of the total load, from 0 to 1
     * @param classLoads load of each class; if all are 0, every class sheds the same fraction
     * @param density priority weight per unit of load, of each class
     */
    public static double[] shedLeastDenseFirst(double shedFraction, double[] classLoads, double[] density) {
        double[] shedFractions = new double[classLoads.length];
        double totalLoad = Arrays.stream(classLoads).sum();
        if (totalLoad <= 0) {
            // without loads, density is the priority weight alone, and shedding only the class of lowest weight might
            // not end the overload
            Arrays.fill(shedFractions, shedFraction);
            return shedFractions;
        }
        Arrays.fill(shedFractions, UNASSIGNED);
        double assignedShare = 0;
        for (int rank = 0; rank < shedFractions.length; rank++) {
            int classIndex = leastDenseUnassigned(shedFractions, density);
            double share = classLoads[classIndex] / totalLoad;
            shedFractions[classIndex] = shedFractionOfClass(shedFraction - assignedShare, share);
            assignedShare += share;
        }
        return shedFractions;
    }

    private static int leastDenseUnassigned(double[] shedFractions, double[] density) {
        int leastDense = -1;
        for (int classIndex = 0; classIndex < shedFractions.length; classIndex++) {
            boolean unassigned = shedFractions[classIndex] < 0;
            if (unassigned && (leastDense < 0 || density[classIndex] < density[leastDense])) {
                leastDense = classIndex;
            }
        }
        return leastDense;
    }

    /**
     * The fraction of its load that one class sheds.
     *
     * @param remaining fraction of the total load that is still to be shed after the classes of lower density
     * @param share fraction of the total load that this class makes up
     */
    private static double shedFractionOfClass(double remaining, double share) {
        return share <= 0 ? 0 : Math.max(0, Math.min(1, remaining / share));
    }

    /**
     * The fraction of each tenant's connections that exceeds its quota, estimated from the connections of one relay.
     * Two corrections avoid false excess of a tenant within its quota: a count has to exceed the tenant's share by two
     * standard deviations, and the share is at least the tenant's fraction of the sum of all quotas, multiplied by the
     * connections of this relay, since a relay has more than its share of connections while other relays are down.
     * O(tenants).
     *
     * @param connectionCounts connections of each tenant on this relay
     * @param quotas connections of each tenant over all relays; 0 if none is stated
     */
    public static double[] excessOverQuota(double[] connectionCounts, double[] quotas, int relayCount) {
        double totalCount = Arrays.stream(connectionCounts).sum();
        double totalQuota = Arrays.stream(quotas).sum();
        double[] excess = new double[connectionCounts.length];
        for (int tenantIndex = 0; tenantIndex < excess.length; tenantIndex++) {
            double quota = quotas[tenantIndex];
            if (quota > 0) {
                double share = totalQuota <= 0 ? 0 : Math.max(quota / relayCount, totalCount * quota / totalQuota);
                excess[tenantIndex] = excessOverShare(connectionCounts[tenantIndex], share);
            }
        }
        return excess;
    }

    private static double excessOverShare(double connectionCount, double share) {
        double significantCount = connectionCount - EXCESS_DEVIATIONS * Math.sqrt(connectionCount);
        return significantCount <= share ? 0 : 1 - share / significantCount;
    }
}
