package sandstack.decisions;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.WatchEndpointList;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/**
 * The servers that this instance knows of and the list they come from. One thread; a list costs O(its
 * entries plus the servers known), the rest O(1).
 */
final class EndpointTable {
    /** Connections on a server that leaves move within an interval of this n. */
    private static final int DRAIN_MIGRATION_EXPONENT = 6;

    static final long POLL_TIMER_TOKEN = -1;

    private final BalancerContext context;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    /** The servers of the home zone and those elsewhere, but for those that are gone. */
    ServerState[] homeServers = new ServerState[0];

    ServerState[] awayServers = new ServerState[0];
    ServerState[] listedServers = new ServerState[0];
    double readyHomeRating;
    double meanHomeRating = 1;
    private int consecutivePollFailures;
    private boolean pollScheduled;

    EndpointTable(BalancerContext context) {
        this.context = context;
    }

    Collection<ServerState> all() {
        return servers.values();
    }

    /** Null where no list has named it. */
    ServerState get(String serverId) {
        return servers.get(serverId);
    }

    ServerState getOrAdd(String serverId) {
        return servers.computeIfAbsent(serverId, name -> new ServerState(name, context));
    }

    void onEndpointList(EndpointListUpdate update) {
        if (update.kind() == EndpointListKind.FAILED) {
            pollScheduled = false;
            consecutivePollFailures++;
            schedulePoll();
            return;
        }
        if (update.kind() != EndpointListKind.DELTA) {
            Set<String> listedIds = new HashSet<>();
            for (EndpointEntry entry : update.entries()) {
                listedIds.add(entry.serverId());
            }
            for (ServerState server : servers.values()) {
                if (!listedIds.contains(server.id)) {
                    startDraining(server, EndpointState.GONE);
                }
            }
        }
        for (EndpointEntry entry : update.entries()) {
            ServerState server = getOrAdd(entry.serverId());
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.rating = entry.rating() > 0 ? entry.rating() : 1;
            server.estimate.onEndpointListed(entry.machineKind(), server.rating);
            if (entry.startedAtMicros() != server.startedAtMicros) {
                server.onRestart(entry.startedAtMicros(), context);
            }
            if (entry.state() == EndpointState.READY) {
                server.state = EndpointState.READY;
            } else {
                startDraining(server, entry.state());
            }
        }
        servers.values()
                .removeIf(server -> server.state == EndpointState.GONE
                        && server.established.isEmpty()
                        && !server.trialInFlight
                        && context.nowMicros() - server.drainingSinceMicros
                                > context.settings().drainGraceMicros());
        rebuild();
        if (update.kind() == EndpointListKind.CACHED) {
            if (context.settings().endpointListPolled()) {
                schedulePoll();
            }
        } else {
            consecutivePollFailures = 0;
        }
    }

    private void startDraining(ServerState server, EndpointState state) {
        if (server.isReady()) {
            server.drainingSinceMicros = context.nowMicros();
            // it may not send its connections away by itself: each draws a moment of its own to move
            for (TrackedRequest request : server.established.values()) {
                context.scheduleTimer(
                        request,
                        context.nowMicros()
                                + 1
                                + (long) (context.uniform() * (context.slotMicros() << DRAIN_MIGRATION_EXPONENT)));
            }
        }
        server.state = state;
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

    boolean isHome(ServerState server) {
        return server.zone == context.settings().homeZone();
    }

    /** Asks for changes; a failed ask is repeated under the same back-off, in the time the rules allow. */
    private void schedulePoll() {
        if (pollScheduled) {
            return;
        }
        pollScheduled = true;
        if (consecutivePollFailures == 0) {
            poll();
            return;
        }
        context.addAction(new SetTimer(
                context.settings().endpointListStaleness().backoffMicros(consecutivePollFailures, context.uniform()),
                POLL_TIMER_TOKEN));
    }

    void poll() {
        pollScheduled = false;
        context.addAction(new WatchEndpointList());
    }
}
