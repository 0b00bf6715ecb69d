package sandstack.decisions;

/**
 * One line of a server list.
 *
 * @param cell the small group of servers that share remembered keys; with its zone, unique
 * @param machineKind kind of machine
 * @param startedAtMicros when its process last started; 0 means long ago
 * @param rating size to compare with others; above 0
 */
public record EndpointEntry(
        String serverId,
        int zone,
        int cell,
        int machineKind,
        long startedAtMicros,
        EndpointState state,
        double rating) {}
