package sandstack.capacity;

import java.util.Arrays;

/** Who gives up what where not all can be served. Pure arithmetic; O(classes squared) or O(tenants) a call. */
public final class SheddingPlan {
    private SheddingPlan() {}

    /**
     * The part that each class gives so that a part of the whole is shed, least density first.
     *
     * @param shedFraction of all load, 0 to 1
     * @param heldLoads load of each class; where none is known every class gives the same part
     * @param density worth for its load of each class
     */
    public static double[] shedLeastDenseFirst(double shedFraction, double[] heldLoads, double[] density) {
        double[] shedFractions = new double[heldLoads.length];
        double total = Arrays.stream(heldLoads).sum();
        if (total <= 0) {
            // which class is dear for its load is not known: by worth alone a light class was shed whole and the
            // jam stayed
            Arrays.fill(shedFractions, shedFraction);
            return shedFractions;
        }
        double precedingShare = 0;
        Arrays.fill(shedFractions, -1);
        for (int i = 0; i < shedFractions.length; i++) {
            int leastDense = -1;
            for (int c = 0; c < shedFractions.length; c++) {
                if (shedFractions[c] < 0 && (leastDense < 0 || density[c] < density[leastDense])) {
                    leastDense = c;
                }
            }
            double share = heldLoads[leastDense] / total;
            shedFractions[leastDense] =
                    share <= 0 ? 0 : Math.max(0, Math.min(1, (shedFraction - precedingShare) / share));
            precedingShare += share;
        }
        return shedFractions;
    }

    /**
     * The part of each tenant's connections that is past its share, judged from one relay's part of them: with few
     * connections chance alone looks like excess, and with other relays dead so does the part itself, hence also
     * against what the others ask here.
     *
     * @param heldLoads connections of each tenant here
     * @param quota connections within its share over all relays; 0 where not stated
     */
    public static double[] excessOverQuota(double[] heldLoads, double[] quota, int relayCount) {
        double all = Arrays.stream(heldLoads).sum();
        double quotas = Arrays.stream(quota).sum();
        double[] excess = new double[heldLoads.length];
        for (int t = 0; t < heldLoads.length; t++) {
            double asked = heldLoads[t] - 2 * Math.sqrt(heldLoads[t]);
            double fair = quotas <= 0 ? 0 : Math.max(quota[t] / relayCount, all * quota[t] / quotas);
            excess[t] = quota[t] <= 0 || asked <= fair ? 0 : 1 - fair / asked;
        }
        return excess;
    }
}
