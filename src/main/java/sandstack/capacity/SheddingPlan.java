package sandstack.capacity;

import java.util.Arrays;

/** How much each class or tenant gives up where not all load can be served. Pure functions of their arguments. */
public final class SheddingPlan {
    /** Marks a class that has not been assigned a fraction yet. */
    private static final double UNASSIGNED = -1;
    /** How far a count must exceed its expectation, in standard deviations, before it is taken for excess. */
    private static final double EXCESS_DEVIATIONS = 2;

    private SheddingPlan() {}

    /**
     * The fraction that each class sheds so that a fraction of the whole load goes. Classes of the least density shed
     * first; only one of them sheds a part of its load. O(classes squared).
     *
     * @param shedFraction of the whole load, from 0 to 1
     * @param heldLoads load of each class; where all are 0 every class sheds the same fraction
     * @param density priority weight for each unit of load, of each class
     */
    public static double[] shedLeastDenseFirst(double shedFraction, double[] heldLoads, double[] density) {
        double[] shedFractions = new double[heldLoads.length];
        double totalLoad = Arrays.stream(heldLoads).sum();
        if (totalLoad <= 0) {
            // without loads the density is the weight alone, and shedding a light class would not end the overload
            Arrays.fill(shedFractions, shedFraction);
            return shedFractions;
        }
        Arrays.fill(shedFractions, UNASSIGNED);
        double precedingShare = 0;
        for (int rank = 0; rank < shedFractions.length; rank++) {
            int classIndex = leastDenseUnassigned(shedFractions, density);
            double share = heldLoads[classIndex] / totalLoad;
            shedFractions[classIndex] = shedFractionOfClass(shedFraction - precedingShare, share);
            precedingShare += share;
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
     * The fraction of one class.
     *
     * @param remaining fraction of the whole load that the classes before this one leave to shed
     * @param share of this class in the whole load
     */
    private static double shedFractionOfClass(double remaining, double share) {
        return share <= 0 ? 0 : Math.max(0, Math.min(1, remaining / share));
    }

    /**
     * The fraction of each tenant's connections that is beyond its quota, judged from the connections of one relay. Two
     * corrections keep tenants within their quota from being taken for excess: a count has to exceed its share by two
     * standard deviations, and the share is no less than the tenant's part of all connections here, since a relay holds
     * more than its part while others are down. O(tenants).
     *
     * @param connectionCounts of each tenant on this relay
     * @param quotas connections of each tenant over all relays; 0 where none is stated
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
        double certainCount = connectionCount - EXCESS_DEVIATIONS * Math.sqrt(connectionCount);
        return certainCount <= share ? 0 : 1 - share / certainCount;
    }
}
