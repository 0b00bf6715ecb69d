package sandstack.decisions;

/**
 * A server in the endpoint list.
 *
 * @param zone index of its zone
 * @param cell index of its cell, a set of servers that share idempotency keys; unique within the zone
 * @param machineKind kind of its machine; servers of one kind have similar capacity per unit of rating
 * @param startedAtMicros when its process was last started; 0 means long ago
 * @param rating weight relative to other servers; above 0; approximately the size of the server if
 *     {@link BalancerSettings#ratingsAreSizes}
 */
public record EndpointEntry(
        String serverId,
        int zone,
        int cell,
        int machineKind,
        long startedAtMicros,
        EndpointState state,
        double rating) {}
