package sandstack.capacity;

import java.util.Arrays;

/**
 * The fraction of each tenant's connections that exceeds its quota, as a moving average over evaluations. Owned by the
 * load balancer; used by one thread; {@link #setQuotas} and {@link #update} are O(tenants), the other calls O(1).
 */
public final class TenantQuotas {
    /** Divisor of the change that one evaluation makes to the moving average. */
    private static final int SMOOTHING_DIVISOR = 4;

    private double[] connectionQuotas = new double[0];
    private double[] connectionCounts = connectionQuotas;
    private double[] excessFractions = connectionQuotas;

    /**
     * Sets the quotas; tenants that remain keep their averages.
     *
     * @param quotas connections of each tenant over all relays, by tenant index; 0 if none is stated
     */
    public void setQuotas(double[] quotas) {
        connectionQuotas = quotas.clone();
        connectionCounts = new double[quotas.length];
        excessFractions = Arrays.copyOf(excessFractions, quotas.length);
    }

    /** Counts one connection in this evaluation; connections of a tenant that is not listed are not counted. */
    public void addConnection(int tenantIndex) {
        if (tenantIndex >= 0 && tenantIndex < connectionCounts.length) {
            connectionCounts[tenantIndex]++;
        }
    }

    /** Ends an evaluation: updates the averages from the counts and clears the counts. */
    public void update(int relayCount) {
        double[] excess = SheddingPlan.excessOverQuota(connectionCounts, connectionQuotas, relayCount);
        for (int tenantIndex = 0; tenantIndex < excess.length; tenantIndex++) {
            double change = excess[tenantIndex] - excessFractions[tenantIndex];
            excessFractions[tenantIndex] += change / SMOOTHING_DIVISOR;
        }
        Arrays.fill(connectionCounts, 0);
    }

    /** The average fraction of this tenant's connections that exceeds its quota; 0 for a tenant that is not listed. */
    public double excessFraction(int tenantIndex) {
        return tenantIndex >= 0 && tenantIndex < excessFractions.length ? excessFractions[tenantIndex] : 0;
    }
}
