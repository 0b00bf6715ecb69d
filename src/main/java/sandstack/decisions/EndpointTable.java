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
 * The servers that this instance knows, as the endpoint list names them. One thread; an update costs O(its entries and
 * the known servers), the rest O(1).
 */
final class EndpointTable {
    private static final ServerState[] NO_SERVERS = {};

    private final BalancerContext context;
    private final DrainMigration drainMigration;
    private final EndpointListPoller poller;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    /** All servers that are not gone, in the order in which they were first named. */
    ServerState[] listedServers = NO_SERVERS;
    /** Those of the home zone. */
    ServerState[] homeServers = NO_SERVERS;
    /** Those of the other zones. */
    ServerState[] awayServers = NO_SERVERS;
    /** Sum of the ratings of the home zone's ready servers. */
    double readyHomeRating;
    /** Mean rating over the home zone's servers, of which only ready ones count; 1 where none is ready. */
    double meanHomeRating = 1;

    EndpointTable(BalancerContext context, DrainMigration drainMigration, EndpointListPoller poller) {
        this.context = context;
        this.drainMigration = drainMigration;
        this.poller = poller;
    }

    /** All known servers, also those that are gone while they hold connections or their drain grace runs. */
    Collection<ServerState> all() {
        return servers.values();
    }

    /** The server with this id; null where it is not known. */
    ServerState get(String serverId) {
        return servers.get(serverId);
    }

    ServerState getOrAdd(String serverId) {
        return servers.computeIfAbsent(serverId, id -> new ServerState(id, context));
    }

    boolean isHome(ServerState server) {
        return server.zone == context.settings().homeZone();
    }

    void onEndpointList(EndpointListUpdate update) {
        if (update.kind() == EndpointListKind.FAILED) {
            poller.onFailure();
            return;
        }
        if (update.kind() != EndpointListKind.DELTA) {
            drainUnlisted(update.entries());
        }
        for (EndpointEntry entry : update.entries()) {
            apply(entry);
        }
        removeGone();
        rebuild();
        poller.onList(update.kind());
    }

    private void drainUnlisted(List<EndpointEntry> entries) {
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

    private void removeGone() {
        servers.values()
                .removeIf(server -> server.state == EndpointState.GONE
                        && server.established.isEmpty()
                        && !server.outlierDetector.isTrialInFlight()
                        && context.nowMicros() - server.drainingSinceMicros
                                > context.settings().drainGraceMicros());
    }

    private void rebuild() {
        listedServers = servers.values().stream()
                .filter(server -> server.state != EndpointState.GONE)
                .toArray(ServerState[]::new);
        homeServers = Arrays.stream(listedServers).filter(this::isHome).toArray(ServerState[]::new);
        awayServers =
                Arrays.stream(listedServers).filter(server -> !isHome(server)).toArray(ServerState[]::new);
        readyHomeRating = 0;
        for (ServerState server : homeServers) {
            readyHomeRating += server.isReady() ? server.rating : 0;
        }
        context.capacity.onReadyRating(Arrays.stream(listedServers)
                .filter(ServerState::isReady)
                .mapToDouble(server -> server.rating)
                .sum());
        meanHomeRating = homeServers.length == 0 || readyHomeRating <= 0 ? 1 : readyHomeRating / homeServers.length;
    }
}
