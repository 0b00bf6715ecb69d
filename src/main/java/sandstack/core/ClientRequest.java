package sandstack.core;

/**
 * A request as a front read it. All that the placement needs and nothing of the wire it came on.
 *
 * @param key the same whenever this client comes
 * @param requestClass position in the settings' classes
 * @param tenant position in the settings' tenants
 * @param group connections of one group share work; null where there is none
 * @param patience how long the client waits for its connection to stand, in microseconds
 * @param load a guess at the connection's load; 0 where there is none
 * @param returning the client came back after a break or a move
 * @param standingAt the feed server at which this connection stood before the relay started; null for a
 *     new connection
 */
public record ClientRequest(
        String key,
        int requestClass,
        int tenant,
        String group,
        long patience,
        double load,
        boolean returning,
        String standingAt) {}
