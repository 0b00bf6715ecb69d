package sandstack.core;

/**
 * A request as a front read it. All that the placement needs and nothing of the wire it came on.
 *
 * @param clientKey the same whenever this client comes
 * @param classIndex position in the settings' classes
 * @param tenantIndex position in the settings' tenants
 * @param group connections of one group share work; null where there is none
 * @param timeoutMicros how long the client waits for its connection to stand, in microseconds
 * @param expectedLoad a guess at the connection's load; 0 where there is none
 * @param reconnecting the client came back after a break or a move
 * @param adoptedFrom the feed server at which this connection stood before the relay started; null for a
 *     new connection
 */
public record ClientRequest(
        String clientKey,
        int classIndex,
        int tenantIndex,
        String group,
        long timeoutMicros,
        double expectedLoad,
        boolean reconnecting,
        String adoptedFrom) {}
