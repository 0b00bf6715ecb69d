package sandstack.core;

/**
 * A request as a front read it: all that the load balancer needs, and nothing of the wire it came on.
 *
 * @param clientKey the same whenever this client connects
 * @param classIndex position in the settings' classes
 * @param tenantIndex position in the settings' tenants
 * @param group connections of one group share work; null where the request has no group
 * @param timeoutMicros how long the client waits for its connection to be established
 * @param expectedLoad an estimate of the connection's load; 0 where there is none
 * @param reconnecting the client reconnects after a reset or a migration
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
