package sandstack.decisions;

/**
 * A tenant.
 *
 * @param connectionQuota open connections within its share, over all balancers; 0 where not stated
 * @param serviceShare its part of the service
 */
public record Tenant(double connectionQuota, double serviceShare) {}
