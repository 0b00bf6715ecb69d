package sandstack.decisions;

/**
 * A tenant.
 *
 * @param connectionQuota connections within its quota, over all instances; 0 where it has none
 * @param serviceShare its share of the service; not used
 */
public record Tenant(double connectionQuota, double serviceShare) {}
