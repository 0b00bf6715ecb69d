package sandstack.core;

/**
 * A client's request in the form that every front (protocol adapter) produces: what the load balancer needs, without
 * anything specific to the protocol.
 *
 * @param clientKey identifies the client: the same on each of its connections
 * @param classIndex index of the request class in {@link EffectiveSettings#classNames}
 * @param tenantIndex index of the tenant in {@link TenantRegistry#entries}
 * @param group the connections of one group share work at their feed server; null if the request has no group
 * @param timeoutMicros how long the client waits for its connection to be established
 * @param expectedLoad estimated load of the connection; 0 if there is no estimate
 * @param reconnecting whether the client reconnects after a reset or a migration
 * @param adoptedFrom the feed server at which this connection was established before the relay started; null for a new
 *     connection
 */
public record ClientRequest(
        String clientKey,
        int classIndex,
        int tenantIndex,
        String group,
        long timeoutMicros,
        double expectedLoad,
        boolean reconnecting,
        String adoptedFrom) {
    /** Whether the connection was established before the relay started. */
    boolean isAdopted() {
        return adoptedFrom != null;
    }
}
