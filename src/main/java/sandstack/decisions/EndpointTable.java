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
    private static final int LEAVE_N = 6;

    static final long ASK_TIMER = -1;

    private final BalancerContext context;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    /** The servers of the home zone and those elsewhere, but for those that are gone. */
    ServerState[] home = new ServerState[0];

    ServerState[] away = new ServerState[0];
    ServerState[] listedServers = new ServerState[0];
    double homeWeight;
    double meanRating = 1;
    private int askFails;
    private boolean asking;

    EndpointTable(BalancerContext context) {
        this.context = context;
    }

    Collection<ServerState> all() {
        return servers.values();
    }

    /** Null where no list has named it. */
    ServerState get(String id) {
        return servers.get(id);
    }

    ServerState know(String id) {
        return servers.computeIfAbsent(id, name -> new ServerState(name, context));
    }

    void onEndpointList(EndpointListUpdate list) {
        if (list.kind() == EndpointListKind.FAILED) {
            asking = false;
            askFails++;
            askLater();
            return;
        }
        if (list.kind() != EndpointListKind.DELTA) {
            Set<String> named = new HashSet<>();
            for (EndpointEntry e : list.entries()) {
                named.add(e.serverId());
            }
            for (ServerState s : servers.values()) {
                if (!named.contains(s.id)) {
                    leave(s, EndpointState.GONE);
                }
            }
        }
        for (EndpointEntry e : list.entries()) {
            ServerState s = know(e.serverId());
            s.zone = e.zone();
            s.cell = e.cell();
            s.rating = e.rating() > 0 ? e.rating() : 1;
            s.estimate.onEndpointListed(e.machineKind(), s.rating);
            if (e.startedAtMicros() != s.startedAt) {
                s.restarted(e.startedAtMicros(), context);
            }
            if (e.state() == EndpointState.READY) {
                s.phase = EndpointState.READY;
            } else {
                leave(s, e.state());
            }
        }
        servers.values()
                .removeIf(s -> s.phase == EndpointState.GONE
                        && s.held.isEmpty()
                        && !s.trialOut
                        && context.nowMicros - s.leavingSince > context.settings.drainGraceMicros());
        rebuild();
        if (list.kind() == EndpointListKind.CACHED) {
            if (context.settings.endpointListPolled()) {
                askLater();
            }
        } else {
            askFails = 0;
        }
    }

    private void leave(ServerState s, EndpointState phase) {
        if (s.ready()) {
            s.leavingSince = context.nowMicros;
            // it may not send its connections away by itself: each draws a moment of its own to move
            for (TrackedRequest r : s.held.values()) {
                context.scheduleTimer(
                        r, context.nowMicros + 1 + (long) (context.uniform() * (context.slotMicros << LEAVE_N)));
            }
        }
        s.phase = phase;
    }

    private void rebuild() {
        listedServers = servers.values().stream()
                .filter(s -> s.phase != EndpointState.GONE)
                .toArray(ServerState[]::new);
        home = Arrays.stream(listedServers).filter(this::isHome).toArray(ServerState[]::new);
        away = Arrays.stream(listedServers).filter(s -> !isHome(s)).toArray(ServerState[]::new);
        homeWeight = 0;
        for (ServerState s : home) {
            homeWeight += s.ready() ? s.rating : 0;
        }
        context.capacity.onReadyRating(Arrays.stream(listedServers)
                .filter(ServerState::ready)
                .mapToDouble(s -> s.rating)
                .sum());
        meanRating = home.length == 0 || homeWeight <= 0 ? 1 : homeWeight / home.length;
    }

    boolean isHome(ServerState s) {
        return s.zone == context.settings.homeZone();
    }

    /** Asks for changes; a failed ask is repeated under the same back-off, in the time the rules allow. */
    private void askLater() {
        if (asking) {
            return;
        }
        asking = true;
        if (askFails == 0) {
            askNow();
            return;
        }
        context.actions.add(new SetTimer(
                context.settings.endpointListStaleness().backoffMicros(askFails, context.uniform()), ASK_TIMER));
    }

    void askNow() {
        asking = false;
        context.actions.add(new WatchEndpointList());
    }
}
