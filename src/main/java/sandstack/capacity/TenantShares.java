package sandstack.capacity;

import java.util.Arrays;

/**
 * What each tenant holds beyond its share, evened over looks. Owned by the decision module; one thread; a look costs
 * O(tenants), the rest O(1).
 */
public final class TenantShares {
    private double[] quota = new double[0];
    private double[] held = quota;
    private double[] excess = quota;

    /**
     * Takes the shares of the tenants, by their positions.
     *
     * @param connections within the share of each tenant, over all relays; those before keep what is known of them
     */
    public void tenantsAre(double[] connections) {
        quota = connections.clone();
        held = new double[quota.length];
        excess = Arrays.copyOf(excess, quota.length);
    }

    /** One connection of this tenant stands at this look; a tenant that is not listed counts for nothing. */
    public void holds(int tenant) {
        if (tenant >= 0 && tenant < held.length) {
            held[tenant]++;
        }
    }

    /** Ends a look. */
    public void look(int relays) {
        double[] now = Shares.excess(held, quota, relays);
        for (int t = 0; t < now.length; t++) {
            excess[t] += (now[t] - excess[t]) / 4;
        }
        Arrays.fill(held, 0);
    }

    /** The part of this tenant's connections that is beyond its share. */
    public double excess(int tenant) {
        return tenant >= 0 && tenant < excess.length ? excess[tenant] : 0;
    }
}
