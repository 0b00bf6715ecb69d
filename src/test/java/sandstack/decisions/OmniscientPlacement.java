package sandstack.decisions;

import java.util.Collection;

/** Chooses servers of a {@link SimulatedFleet} by their true state, as an upper bound for load balancers. */
final class OmniscientPlacement {
    private OmniscientPlacement() {}

    /**
     * The server with the most headroom up to a utilization of 75 %; servers with connections of the group of the
     * client rank first if they have headroom.
     */
    static SimulatedServer initialServer(SimulatedClient client, Collection<SimulatedServer> servers) {
        SimulatedServer best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (SimulatedServer server : servers) {
            double headroom = 0.75 - server.requestedLoadWith(client) / server.unitsPerSecond;
            double affinity = server.hasGroup(client.group) ? 10 : 0;
            double score = headroom > 0 ? affinity + headroom : headroom - 100;
            if (score > bestScore) {
                bestScore = score;
                best = server;
            }
        }
        return best;
    }

    /**
     * The server with the lowest cost by utilization and queued work, without draining servers; servers with
     * connections of the group of the client are preferred.
     */
    static SimulatedServer server(SimulatedClient client, Collection<SimulatedServer> servers, long nowMicros) {
        SimulatedServer best = null;
        double lowestCost = Double.MAX_VALUE;
        for (SimulatedServer server : servers) {
            double utilization = server.requestedLoadWith(client) / server.currentUnitsPerSecond(nowMicros);
            double cost = utilization
                    + (server.hasGroup(client.group) ? 0 : 0.4)
                    + 5 * server.queuedWork() / server.unitsPerSecond
                    + (utilization > 0.85 ? 3 : 0);
            if (!server.draining && cost < lowestCost) {
                lowestCost = cost;
                best = server;
            }
        }
        return best;
    }
}
