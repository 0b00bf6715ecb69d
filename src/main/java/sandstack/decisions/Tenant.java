package sandstack.decisions;

/**
 * A tenant and its quota.
 *
 * @param connectionQuota connections within the quota, over all relays; 0 if it has none
 * @param serviceShare its share of the service; not used
 */
public record Tenant(double connectionQuota, double serviceShare) {}
