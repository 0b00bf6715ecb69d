package sandstack.decisions;

/**
 * One entry of the endpoint list.
 *
 * @param cell group of servers that share deduplication keys; unique within its zone
 * @param machineKind kind of machine; servers of one kind have similar capacity per rating
 * @param startedAtMicros when its process was last started; 0 means long ago
 * @param rating size relative to other servers; above 0
 */
public record EndpointEntry(
        String serverId,
        int zone,
        int cell,
        int machineKind,
        long startedAtMicros,
        EndpointState state,
        double rating) {}
