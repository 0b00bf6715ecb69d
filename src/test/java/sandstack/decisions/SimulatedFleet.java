package sandstack.decisions;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * Many modules, their feed servers and their clients in one simulated clock. A server does so many units of work a
 * second: a mean connection is one, a group that stands there three, a set-up a third of a second's. What is beyond
 * piles up; past a second of it the newest connections are dropped. Relays hear nothing of that but what happens to
 * their own connections, and of the list only seconds late. Loads are told once a connection stands.
 */
final class SimulatedFleet {
    private static final long STEP = 20_000;
    private static final long AIM = 150_000;
    static final long DROP_AT = 1_000_000;
    /** Of what a server does, so much stays when it drops the rest. */
    private static final double DROP_TO = 0.2;

    private static final long SET_UP = 30_000;
    private static final double SET_UP_WORK = 0.3;
    static final double GROUP = 3;
    private static final double UNIT = 66_000;
    /** Seconds of work that a machine keeps waiting at the least and at the most; what is beyond is lost in silence. */
    private static final double LEAST_QUEUE = 0.8;

    private static final double MOST_QUEUE = 2;
    static final double[] LOAD = {0.57, 0.2, 3.4};
    private static final double[] WORTH = {5, 1, 5};

    /** Something to do at a time; {@code order} settles equal times. */
    private record Due(long at, long order, Runnable what) {}

    private final boolean bySight;
    /** Units of work that a machine of rating 1 does in a second, or up to half as many more. */
    private double mean = 19.5;

    private final Random chance;
    private final int zones;
    private final List<SimulatedRelay> relays = new ArrayList<>();
    private final Map<String, SimulatedServer> machines = new LinkedHashMap<>();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long now = 50_000_000;
    private long order;
    private int ids;
    private double wanted;
    private double served;
    private int dropped;
    private int refused;

    private SimulatedFleet(long seed, int relayCount, int zones, boolean bySight) {
        this.bySight = bySight;
        this.chance = new Random(seed);
        this.zones = zones;
        for (int i = 0; i < relayCount; i++) {
            relays.add(new SimulatedRelay(i, i % zones));
        }
    }

    /** A fleet in which all clients have stood for a second; what is counted begins now. */
    private static SimulatedFleet standing(
            long seed, int relays, int servers, int clients, int groups, boolean bySight) {
        SimulatedFleet w = new SimulatedFleet(seed, relays, 3, bySight);
        for (int i = 0; i < servers; i++) {
            w.machine("s" + seed + "-" + i, i % 2 == 0 ? 1.0 : 1.5, 0);
        }
        w.relays.forEach(w::start);
        w.standing(clients, groups);
        w.run(1_000_000);
        w.wanted = 0;
        w.served = 0;
        w.dropped = 0;
        w.refused = 0;
        return w;
    }

    private SimulationResult outcome(long length) {
        run(length / 3 * 2);
        double servedBefore = served;
        double wantedBefore = wanted;
        run(length / 3);
        return new SimulationResult(
                served / wanted, (served - servedBefore) / (wanted - wantedBefore), dropped, refused, pairs());
    }

    private int pairs() {
        return machines.values().stream()
                .mapToInt(
                        m -> (int) m.held.stream().map(c -> c.group).distinct().count())
                .sum();
    }

    /**
     * A roll: half of the servers are replaced in steps while all relays restart, a tenth at a time.
     *
     * @param bySight servers are chosen by their true state instead of by the modules: what is within reach
     */
    static SimulationResult roll(long seed, int relays, int servers, int clients, int groups, boolean bySight) {
        SimulatedFleet w = standing(seed, relays, servers, clients, groups, bySight);
        for (int i = 0; i < relays; i++) {
            SimulatedRelay r = w.relays.get(i);
            w.at(1_500_000 + i / Math.max(1, relays / 10) * 1_600_000L, () -> w.restart(r));
        }
        List<SimulatedServer> old = new ArrayList<>(w.machines.values()).subList(0, servers / 2);
        for (int i = 0; i < old.size(); i++) {
            SimulatedServer m = old.get(i);
            String next = "n" + seed + "-" + i;
            long when = 1_500_000 + i / Math.max(1, servers / 8) * 2_600_000L;
            w.at(when, () -> w.announce(w.machine(next, m.entry.rating(), w.now)));
            w.at(when + 1_500_000, () -> w.drain(m));
        }
        return w.outcome(24_000_000);
    }

    /** A zone whose machines all die 9 s after the start and come back cold, each 4 to 5.5 s later. */
    static SimulationResult zoneLost(long seed, int relays, int servers, int clients, int groups) {
        SimulatedFleet w = standing(seed, relays, servers, clients, groups, false);
        for (SimulatedServer m : w.machines.values()) {
            if (m.entry.zone() == 1) {
                w.at(9_000_000, () -> w.die(m));
                w.at(9_000_000 + w.between(4_000_000, 5_500_000), () -> w.comeBackCold(m));
            }
        }
        return w.outcome(28_000_000);
    }

    /**
     * Discovery is down while seven in ten relays are killed and a release begins that replaces half of the servers.
     * Clients came through the relays, so that groups stand on more servers than they need. Lists reach the relays
     * seconds late; the processes that come back have the list that they were told of before.
     *
     * @param bySight servers are chosen by their true state instead of by the modules: what is within reach
     */
    static SimulationResult herd(long seed, int relays, int servers, int clients, int groups, boolean bySight) {
        SimulatedFleet w = new SimulatedFleet(seed, relays, 3, bySight);
        w.mean = 23.4;
        for (int i = 0; i < servers; i++) {
            SimulatedServer m = w.machine("s" + seed + "-" + i, i % 2 == 0 ? 1.0 : 1.5, 0);
            m.queue = w.queue();
        }
        w.relays.forEach(w::start);
        for (int i = 0; i < clients; i++) {
            SimulatedClient c = w.client(i, groups, 1.3);
            w.at(w.between(0, 1_500_000), () -> w.come(c));
        }
        w.at(9_000_000, w::discoveryFails);
        w.at(
                12_300_000,
                () -> w.relays.stream().filter(r -> w.chance.nextDouble() < 0.7).forEach(w::kill));
        w.relays.forEach(r -> w.at(w.between(17_000_000, 22_000_000), () -> w.discoveryReaches(r)));
        List<SimulatedServer> old = new ArrayList<>(w.machines.values()).subList(0, servers * 17 / 31);
        for (int i = 0; i < old.size(); i++) {
            SimulatedServer m = old.get(i);
            String next = "n" + seed + "-" + i;
            w.at(9_000_000 + 15_000_000L * i / old.size(), () -> w.replace(m, next));
        }
        return w.outcome(28_000_000);
    }

    private double queue() {
        return LEAST_QUEUE + (MOST_QUEUE - LEAST_QUEUE) * chance.nextDouble();
    }

    private void discoveryFails() {
        List<EndpointEntry> last = list();
        relays.forEach(r -> r.lastList = last);
    }

    private void discoveryReaches(SimulatedRelay r) {
        r.lastList = null;
        tell(r, new EndpointListUpdate(EndpointListKind.FULL, list()));
    }

    /** A new machine comes under this name, and the old one sends its clients away and ends soon after. */
    private void replace(SimulatedServer old, String next) {
        SimulatedServer fresh = machine(next, old.entry.rating(), now);
        fresh.queue = queue();
        announce(fresh);
        at(1_500_000, () -> drain(old));
        at(3_500_000, () -> {
            old.dead = true;
            old.piled = 0;
            old.held.forEach(c -> c.at = null);
        });
    }

    private void die(SimulatedServer m) {
        m.dead = true;
        m.piled = 0;
        for (SimulatedClient c : List.copyOf(m.held)) {
            if (c.at == m) {
                end(c, AttemptOutcome.RESET);
                comeBack(c, 150_000, 500_000);
            }
        }
    }

    private void comeBackCold(SimulatedServer m) {
        EndpointEntry e = m.entry;
        m.dead = false;
        m.entry = new EndpointEntry(
                e.serverId(), e.zone(), e.cell(), e.machineKind(), now, EndpointState.READY, e.rating());
        announce(m);
    }

    private SimulatedServer machine(String name, double rating, long startedAt) {
        SimulatedServer m = new SimulatedServer(
                new EndpointEntry(
                        name, Math.floorMod(name.hashCode(), 97) % zones, 0, 0, startedAt, EndpointState.READY, rating),
                rating * mean * (0.9 + 0.6 * chance.nextDouble()));
        machines.put(name, m);
        return m;
    }

    private BalancerSettings settings(SimulatedRelay r) {
        List<RequestClass> classes = new ArrayList<>();
        for (int c = 0; c < 3; c++) {
            classes.add(new RequestClass(
                    c == 2 ? 300_000 : 500_000,
                    c == 2 ? 1_800_000 : 3_000_000,
                    WORTH[c],
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    5_000_000,
                    AIM));
        }
        return BalancerSettingsBuilder.of(classes)
                .instanceIndex(r.number)
                .instanceCount(relays.size())
                .homeZone(r.zone)
                .zoneCount(zones)
                .sharedGroups(true)
                .pollIntervalMicros(10_000_000)
                .connectTimeoutMicros(100_000)
                .retryAfterHonored(true)
                .maxRetryAfterMicros(1_500_000)
                .healthCheckCost(0.002)
                .gossipAllowed(true)
                .gossipCost(0.01)
                .crossZoneCost(0.08)
                .migrationCost(0.01)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .slowStartDurationMicros(23_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .build();
    }

    /** A relay starts with nothing but the list. */
    private void start(SimulatedRelay r) {
        r.brain = new LoadBalancer(
                settings(r), BalancerHarness.PLATFORM_CAPACITIES, InstallationLimits.NONE, chance.nextLong(), now);
        r.draining = false;
        r.life++;
        tell(r, new EndpointListUpdate(EndpointListKind.CACHED, r.lastList != null ? r.lastList : list()));
    }

    /** What discovery has. */
    private List<EndpointEntry> list() {
        return machines.values().stream()
                .filter(m -> !m.dead)
                .map(SimulatedServer::listed)
                .toList();
    }

    private void at(long after, Runnable what) {
        due.add(new Due(now + after, order++, what));
    }

    private long between(long least, long most) {
        return least + (long) (chance.nextDouble() * (most - least));
    }

    /** All relays hear of this server, each when its list comes. */
    private void announce(SimulatedServer m) {
        EndpointListUpdate news = new EndpointListUpdate(EndpointListKind.DELTA, List.of(m.listed()));
        relays.forEach(r -> at(between(1_000_000, 2_500_000), () -> {
            if (r.lastList == null) {
                tell(r, news);
            }
        }));
    }

    /** The machine sends all its clients away and takes nobody. */
    private void drain(SimulatedServer m) {
        m.draining = true;
        for (SimulatedClient c : List.copyOf(m.held)) {
            if (c.at == m) {
                // what its relay hears of one may move another away first
                end(c, AttemptOutcome.CANCELLED);
                comeBack(c, 20_000, 200_000);
            }
        }
        announce(m);
    }

    /** SIGKILL: all its clients come again elsewhere; the process comes back with the list that it had. */
    private void kill(SimulatedRelay r) {
        for (SimulatedClient c : List.copyOf(r.clients.values())) {
            leave(c);
            comeBack(c, 150_000, 500_000);
        }
        r.brain = null;
        r.life++;
        at(between(1_000_000, 3_000_000), () -> start(r));
    }

    /** SIGTERM: clients are moved over a span, then the process ends and comes back without any memory. */
    private void restart(SimulatedRelay r) {
        r.draining = true;
        int life = r.life;
        for (SimulatedClient c : List.copyOf(r.clients.values())) {
            at(between(500_000, 2_000_000), () -> {
                if (c.relay == r && r.life == life) {
                    leave(c);
                    comeBack(c, 20_000, 200_000);
                }
            });
        }
        at(2_600_000, () -> {
            for (SimulatedClient c : List.copyOf(r.clients.values())) {
                leave(c);
                comeBack(c, 150_000, 500_000);
            }
            r.brain = null;
        });
        at(3_800_000, () -> start(r));
    }

    /** Clients that stand already, as a fleet that was filled well has them. */
    private void standing(int count, int groups) {
        for (int i = 0; i < count; i++) {
            SimulatedClient c = client(i, groups, 2);
            String group = c.group;
            SimulatedServer best = null;
            double top = Double.NEGATIVE_INFINITY;
            for (SimulatedServer m : machines.values()) {
                boolean has = m.held.stream().anyMatch(o -> o.group.equals(group));
                double free = 0.75 - (m.asked() + LOAD[c.cls] + (has ? 0 : GROUP)) / m.rate;
                double score = free > 0 ? (has ? 10 : 0) + free : free - 100;
                if (score > top) {
                    top = score;
                    best = m;
                }
            }
            List<SimulatedRelay> near =
                    relays.stream().filter(r -> r.zone == c.zone).toList();
            SimulatedRelay r = near.get(chance.nextInt(near.size()));
            stands(c, r, best);
            r.tries.put(c.id, 1);
            tell(r, new ConnectionAdopted(ask(c), best.entry.serverId()));
        }
    }

    /** One more client; groups are as uneven as Zipf's. */
    private SimulatedClient client(int number, int groups, double skew) {
        double u = chance.nextDouble();
        String group = "g" + (int) (groups * Math.pow(u, skew));
        SimulatedClient c = new SimulatedClient("k" + number, group, chance.nextInt(zones), chance.nextDouble());
        clients.add(c);
        return c;
    }

    private void stands(SimulatedClient c, SimulatedRelay r, SimulatedServer m) {
        c.id = "c" + ids++;
        c.relay = r;
        c.at = m;
        r.clients.put(c.id, c);
        m.held.add(c);
    }

    private ConnectRequested ask(SimulatedClient c) {
        return new ConnectRequested(
                c.id,
                c.cls,
                0,
                c.key,
                c.group,
                now + (c.cls == 2 ? 1_700_000 : 2_900_000),
                LOAD[c.cls] * UNIT,
                false,
                c.returning);
    }

    private void come(SimulatedClient c) {
        List<SimulatedRelay> up = relays.stream()
                .filter(r -> r.brain != null && !r.draining && r.zone == c.zone)
                .toList();
        if (up.isEmpty()) {
            at(200_000, () -> come(c));
            return;
        }
        c.id = "c" + ids++;
        c.relay = up.get(chance.nextInt(up.size()));
        c.relay.clients.put(c.id, c);
        tell(c.relay, ask(c));
    }

    private void comeBack(SimulatedClient c, long least, long most) {
        c.returning = true;
        at(between(least, most), () -> come(c));
    }

    private void leave(SimulatedClient c) {
        if (c.relay != null) {
            c.relay.clients.remove(c.id);
            c.relay = null;
        }
        if (c.at != null) {
            c.at.held.remove(c);
            c.at = null;
        }
    }

    /** Its standing connection ends, and its relay is told how. */
    private void end(SimulatedClient c, AttemptOutcome how) {
        SimulatedServer m = c.at;
        SimulatedRelay r = c.relay;
        String id = c.id;
        leave(c);
        if (how == AttemptOutcome.CANCELLED && m.draining) {
            // what the relay's core makes of a server that sends a client away
            tell(r, new EndpointListUpdate(EndpointListKind.DELTA, List.of(m.listed())));
        }
        tell(r, new AttemptEnded(id, r.tries.get(id) - 1, m.entry.serverId(), how, true, 1_000_000, null));
    }

    private void tell(SimulatedRelay r, BalancerEvent e) {
        if (r.brain == null) {
            return;
        }
        int life = r.life;
        for (BalancerAction a : r.brain.handle(e, now)) {
            if (a instanceof StartAttempt t) {
                attempt(r, t);
            } else if (a instanceof SetTimer t) {
                at(t.delayMicros(), () -> {
                    if (r.life == life) {
                        tell(r, new TimerExpired(t.token()));
                    }
                });
            } else if (a instanceof Reject t) {
                answered(r, t.requestId(), t.retryAfterMicros());
            } else if (a instanceof Fail t) {
                answered(r, t.requestId(), 500_000);
            } else if (a instanceof Migrate t
                    && r.clients.containsKey(t.requestId())
                    && r.clients.get(t.requestId()).at != null) {
                SimulatedClient c = r.clients.get(t.requestId());
                end(c, AttemptOutcome.CANCELLED);
                comeBack(c, 20_000, 200_000);
            }
        }
    }

    private void answered(SimulatedRelay r, String id, long after) {
        SimulatedClient c = r.clients.remove(id);
        if (c != null) {
            refused++;
            c.relay = null;
            comeBack(c, Math.max(150_000, after), Math.max(500_000, after));
            c.returning = false;
        }
    }

    private void attempt(SimulatedRelay r, StartAttempt t) {
        SimulatedClient c = r.clients.get(t.requestId());
        int life = r.life;
        if (c == null) {
            return;
        }
        int n = r.tries.merge(t.requestId(), 1, Integer::sum) - 1;
        SimulatedServer m = bySight ? inSight(c) : machines.get(t.serverId());
        at(SET_UP, () -> {
            if (r.life != life || c.relay != r || !t.requestId().equals(c.id)) {
                return;
            }
            if (m.dead) {
                tell(
                        r,
                        new AttemptEnded(
                                t.requestId(), n, t.serverId(), AttemptOutcome.CONNECT_FAILED, false, SET_UP, null));
                return;
            }
            if (m.draining) {
                tell(r, new AttemptEnded(t.requestId(), n, t.serverId(), AttemptOutcome.REJECTED, false, SET_UP, null));
                return;
            }
            m.piled += SET_UP_WORK;
            m.held.add(c);
            c.at = m;
            tell(r, new ConnectionEstablished(t.requestId(), n, m.entry.serverId(), SET_UP));
            tell(r, new LoadReported(t.requestId(), n, t.serverId(), LOAD[c.cls] * UNIT));
        });
    }

    /** The server that is best off with this client: the least used, the group's where that has room. */
    private SimulatedServer inSight(SimulatedClient c) {
        SimulatedServer best = null;
        double least = Double.MAX_VALUE;
        for (SimulatedServer m : machines.values()) {
            boolean has = m.held.stream().anyMatch(o -> o.group.equals(c.group));
            double used = (m.asked() + LOAD[c.cls] + (has ? 0 : GROUP)) / does(m);
            double cost = used + (has ? 0 : 0.4) + 5 * m.piled / m.rate + (used > 0.85 ? 3 : 0);
            if (!m.draining && cost < least) {
                least = cost;
                best = m;
            }
        }
        return best;
    }

    /** Units of work that a machine does in a second now. */
    private double does(SimulatedServer m) {
        long started = m.entry.startedAtMicros();
        return m.rate * (started == 0 ? 1 : Math.min(1, 0.13 + 0.87 * (now - started) / 23_000_000));
    }

    private void run(long length) {
        long until = now + length;
        while (now < until) {
            long next = now + STEP;
            while (!due.isEmpty() && due.peek().at <= next) {
                Due d = due.poll();
                now = Math.max(now, d.at);
                d.what.run();
            }
            now = next;
            machines.values().forEach(this::work);
            clients.forEach(c -> wanted += WORTH[c.cls]);
        }
    }

    /** One step of a machine's work. */
    private void work(SimulatedServer m) {
        double does = does(m);
        m.piled = Math.max(0, Math.min(m.queue * does, m.piled + (m.asked() - does) * STEP / 1e6));
        double delay = m.piled / does * 1e6;
        if (delay < AIM) {
            m.held.forEach(c -> served += WORTH[c.cls]);
        } else if (delay > DROP_AT) {
            drop(m, DROP_TO * does);
        }
    }

    /** The newest go until what is left asks for less than this. */
    private void drop(SimulatedServer m, double to) {
        double keeps = 0;
        Set<String> groups = new HashSet<>();
        for (SimulatedClient c : List.copyOf(m.held)) {
            keeps += LOAD[c.cls] + (groups.contains(c.group) ? 0 : GROUP);
            if (keeps < to) {
                groups.add(c.group);
            } else if (c.at == m) {
                dropped++;
                end(c, AttemptOutcome.RESET);
                comeBack(c, 150_000, 400_000);
            }
        }
        m.piled *= 0.9;
    }
}
