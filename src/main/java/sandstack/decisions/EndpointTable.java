package sandstack.decisions;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/**
 * The servers that this relay knows from the endpoint list or from adopted connections. Confined to the thread of the
 * load balancer. An update costs O(its entries + known servers + connections of servers that start draining), other
 * calls O(1).
 */
final class EndpointTable {
    private static final ServerState[] NO_SERVERS = {};

    private final BalancerContext context;
    private final DrainMigration drainMigration;
    private final EndpointListPoller poller;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    /** All servers that are not gone, in the order in which they were first listed. */
    ServerState[] listedServers = NO_SERVERS;
    /** The listed servers of the home zone. */
    ServerState[] homeZoneServers = NO_SERVERS;
    /** The listed servers of all other zones. */
    ServerState[] otherZoneServers = NO_SERVERS;
    /** Sum of the ratings of the ready servers of the home zone. */
    double readyHomeZoneRating;
    /**
     * {@link #readyHomeZoneRating} divided by the number of listed servers of the home zone; 1 if none of them is
     * ready.
     */
    double meanHomeZoneRating = 1;

    EndpointTable(BalancerContext context, DrainMigration drainMigration, EndpointListPoller poller) {
        this.context = context;
        this.drainMigration = drainMigration;
        this.poller = poller;
    }

    /**
     * All known servers, including those that are gone but have connections or a trial in flight, or are within their
     * drain grace.
     */
    Collection<ServerState> all() {
        return servers.values();
    }

    /** The server with this id; null if unknown. */
    ServerState get(String serverId) {
        return servers.get(serverId);
    }

    /** The server with this id; an unknown server is added as gone, since no list has named it. */
    ServerState getOrAdd(String serverId) {
        return servers.computeIfAbsent(serverId, id -> new ServerState(id, context));
    }

    boolean isInHomeZone(ServerState server) {
        return server.zone == context.settings().homeZone();
    }

    void onEndpointList(EndpointListUpdate update) {
        if (update.kind() == EndpointListKind.FAILED) {
            poller.onFailure();
            return;
        }
        if (update.kind() != EndpointListKind.DELTA) {
            drainUnlistedServers(update.entries());
        }
        for (EndpointEntry entry : update.entries()) {
            apply(entry);
        }
        removeGoneServers();
        rebuildServerLists();
        poller.onList(update.kind());
    }

    private void drainUnlistedServers(List<EndpointEntry> entries) {
        Set<String> listedIds = new HashSet<>();
        for (EndpointEntry entry : entries) {
            listedIds.add(entry.serverId());
        }
        for (ServerState server : servers.values()) {
            if (!listedIds.contains(server.id)) {
                startDraining(server, EndpointState.GONE);
            }
        }
    }

    private void apply(EndpointEntry entry) {
        ServerState server = getOrAdd(entry.serverId());
        server.zone = entry.zone();
        server.cell = entry.cell();
        server.rating = entry.rating() > 0 ? entry.rating() : 1;
        server.estimate.onEndpointListed(entry.machineKind(), server.rating);
        server.onStartTime(entry.startedAtMicros(), context);
        if (entry.state() == EndpointState.READY) {
            server.state = EndpointState.READY;
        } else {
            startDraining(server, entry.state());
        }
    }

    private void startDraining(ServerState server, EndpointState state) {
        if (server.isReady()) {
            server.drainingSinceMicros = context.nowMicros();
            drainMigration.onDraining(server);
        }
        server.state = state;
    }

    private void removeGoneServers() {
        servers.values()
                .removeIf(server -> server.state == EndpointState.GONE
                        && server.established.isEmpty()
                        && !server.outlierDetector.isTrialInFlight()
                        && context.nowMicros() - server.drainingSinceMicros
                                > context.settings().drainGraceMicros());
    }

    private void rebuildServerLists() {
        listedServers = servers.values().stream()
                .filter(server -> server.state != EndpointState.GONE)
                .toArray(ServerState[]::new);
        homeZoneServers =
                Arrays.stream(listedServers).filter(this::isInHomeZone).toArray(ServerState[]::new);
        otherZoneServers = Arrays.stream(listedServers)
                .filter(server -> !isInHomeZone(server))
                .toArray(ServerState[]::new);
        readyHomeZoneRating = 0;
        for (ServerState server : homeZoneServers) {
            readyHomeZoneRating += server.isReady() ? server.rating : 0;
        }
        context.capacity.onReadyRating(Arrays.stream(listedServers)
                .filter(ServerState::isReady)
                .mapToDouble(server -> server.rating)
                .sum());
        meanHomeZoneRating = homeZoneServers.length == 0 || readyHomeZoneRating <= 0
                ? 1
                : readyHomeZoneRating / homeZoneServers.length;
    }
}
