package sandstack.capacity;

import java.util.Arrays;

/**
 * What each tenant holds beyond its share, evened over looks. Owned by the decision module; one thread; a look costs
 * O(tenants), the rest O(1).
 */
public final class TenantQuotas {
    private double[] connectionQuotas = new double[0];
    private double[] connectionCounts = connectionQuotas;
    private double[] excessFraction = connectionQuotas;

    /**
     * Takes the shares of the tenants, by their positions.
     *
     * @param quotas within the share of each tenant, over all relays; those before keep what is known of them
     */
    public void setQuotas(double[] quotas) {
        connectionQuotas = quotas.clone();
        connectionCounts = new double[connectionQuotas.length];
        excessFraction = Arrays.copyOf(excessFraction, connectionQuotas.length);
    }

    /** One connection of this tenant stands at this look; a tenant that is not listed counts for nothing. */
    public void addConnection(int tenantIndex) {
        if (tenantIndex >= 0 && tenantIndex < connectionCounts.length) {
            connectionCounts[tenantIndex]++;
        }
    }

    /** Ends a look. */
    public void update(int relayCount) {
        double[] currentExcess = SheddingPlan.excessOverQuota(connectionCounts, connectionQuotas, relayCount);
        for (int t = 0; t < currentExcess.length; t++) {
            excessFraction[t] += (currentExcess[t] - excessFraction[t]) / 4;
        }
        Arrays.fill(connectionCounts, 0);
    }

    /** The part of this tenant's connections that is beyond its share. */
    public double excessFraction(int tenantIndex) {
        return tenantIndex >= 0 && tenantIndex < excessFraction.length ? excessFraction[tenantIndex] : 0;
    }
}
