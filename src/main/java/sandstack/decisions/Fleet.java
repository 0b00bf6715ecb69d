package sandstack.decisions;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.ServerEntry;
import sandstack.decisions.Decisions.ServerList;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.WatchServers;

/**
 * The servers that this instance knows of and the list they come from. One thread; a list costs O(its
 * entries plus the servers known), the rest O(1).
 */
final class Fleet {
    /** Connections on a server that leaves move within an interval of this n. */
    private static final int LEAVE_N = 6;

    static final long ASK_TIMER = -1;

    private final Frame f;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** The servers of the home zone and those elsewhere, but for those that are gone. */
    Server[] home = new Server[0];

    Server[] away = new Server[0];
    Server[] listed = new Server[0];
    double homeWeight;
    double meanRating = 1;
    private int askFails;
    private boolean asking;

    Fleet(Frame f) {
        this.f = f;
    }

    Collection<Server> all() {
        return servers.values();
    }

    /** Null where no list has named it. */
    Server get(String id) {
        return servers.get(id);
    }

    Server know(String id) {
        return servers.computeIfAbsent(id, name -> new Server(name, f));
    }

    void listed(ServerList list) {
        if (list.kind() == ListKind.FAILED) {
            asking = false;
            askFails++;
            askLater();
            return;
        }
        if (list.kind() != ListKind.CHANGES) {
            Set<String> named = new HashSet<>();
            for (ServerEntry e : list.entries()) {
                named.add(e.server());
            }
            for (Server s : servers.values()) {
                if (!named.contains(s.id)) {
                    leave(s, Phase.GONE);
                }
            }
        }
        for (ServerEntry e : list.entries()) {
            Server s = know(e.server());
            s.zone = e.zone();
            s.cell = e.cell();
            s.rating = e.rating() > 0 ? e.rating() : 1;
            s.estimate.listed(e.kind(), s.rating);
            if (e.startedAt() != s.startedAt) {
                s.restarted(e.startedAt(), f);
            }
            if (e.phase() == Phase.READY) {
                s.phase = Phase.READY;
            } else {
                leave(s, e.phase());
            }
        }
        servers.values()
                .removeIf(s -> s.phase == Phase.GONE
                        && s.held.isEmpty()
                        && !s.trialOut
                        && f.now - s.leavingSince > f.set.drainGrace());
        rebuild();
        if (list.kind() == ListKind.SAVED) {
            if (f.set.listOnRequest()) {
                askLater();
            }
        } else {
            askFails = 0;
        }
    }

    private void leave(Server s, Phase phase) {
        if (s.ready()) {
            s.leavingSince = f.now;
            // it may not send its connections away by itself: each draws a moment of its own to move
            for (Request r : s.held.values()) {
                f.wake(r, f.now + 1 + (long) (f.uniform() * (f.slot << LEAVE_N)));
            }
        }
        s.phase = phase;
    }

    private void rebuild() {
        listed = servers.values().stream().filter(s -> s.phase != Phase.GONE).toArray(Server[]::new);
        home = Arrays.stream(listed).filter(this::isHome).toArray(Server[]::new);
        away = Arrays.stream(listed).filter(s -> !isHome(s)).toArray(Server[]::new);
        homeWeight = 0;
        for (Server s : home) {
            homeWeight += s.ready() ? s.rating : 0;
        }
        f.capacity.listed(Arrays.stream(listed)
                .filter(Server::ready)
                .mapToDouble(s -> s.rating)
                .sum());
        meanRating = home.length == 0 || homeWeight <= 0 ? 1 : homeWeight / home.length;
    }

    boolean isHome(Server s) {
        return s.zone == f.set.homeZone();
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
        f.out.add(new SetTimer(f.set.list().pause(askFails, f.uniform()), ASK_TIMER));
    }

    void askNow() {
        asking = false;
        f.out.add(new WatchServers());
    }
}
