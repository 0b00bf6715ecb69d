package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.capacity.StatedCapacity;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.settings.BalancerSettingsBuilder;

/** Feeds one Brain and checks each of its actions against the rules. */
final class Rig {
    /** What an operator may state: a load, and the price of a group. */
    static final StatedCapacities PLATFORM =
            new StatedCapacities(new StatedCapacity(1e6, 0, true, 1e6 / 15, 3), List.of());

    static final long AIM = 320_000;
    static final long DEADLINE = 2_000_000;
    static final long WINDOW = 800_000;
    static final long GRACE = 1_000_000;
    static final long ASK = 10_000_000;
    static final long MESSAGE = 100_000;

    long now = 50_000_000;
    final long start = now;
    final LoadBalancer brain;
    final BalancerSettings settings;
    final Map<String, StartAttempt> attempts = new HashMap<>();
    final Map<String, Integer> tries = new HashMap<>();
    final Set<String> answered = new HashSet<>();
    final List<BalancerAction> log = new ArrayList<>();
    private final Map<String, EndpointEntry> list = new LinkedHashMap<>();
    private final Map<String, Long> leftAt = new HashMap<>();
    private final Map<String, ConnectRequested> owed = new LinkedHashMap<>();
    private final Map<String, StartAttempt> flying = new LinkedHashMap<>();
    private final Map<String, StartAttempt> standing = new LinkedHashMap<>();
    private final Map<String, EndpointEntry> mayHaveRun = new HashMap<>();
    private final Map<String, Long> ranSince = new HashMap<>();
    private final Map<String, Long> sentAt = new HashMap<>();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));

    Rig(BalancerSettings settings, long seed) {
        this(settings, PLATFORM, InstallationLimits.NONE, seed);
    }

    Rig(BalancerSettings settings, StatedCapacities book, InstallationLimits limits, long seed) {
        this.settings = settings;
        brain = new LoadBalancer(settings, book, limits, seed, now);
    }

    static Builder settings() {
        return new Builder();
    }

    /** Settings to vary in a test. */
    static final class Builder {
        private List<RequestClass> classes = List.of(cls(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        private int attempts = 4;
        private int zone;
        private int instances = 10;
        private long grace = GRACE;
        private boolean ask;
        private boolean advice = true;

        private static RequestClass cls(Idempotency repeat, DeduplicationScope scope) {
            return cls(1, repeat, scope);
        }

        private static RequestClass cls(double worth, Idempotency repeat, DeduplicationScope scope) {
            return new RequestClass(AIM, DEADLINE, worth, repeat, scope, WINDOW, MESSAGE);
        }

        Builder classes(double worth, double otherWorth) {
            classes = List.of(
                    cls(worth, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    cls(otherWorth, Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
            return this;
        }

        Builder repeat(Idempotency repeat, DeduplicationScope scope) {
            classes = List.of(cls(repeat, scope));
            return this;
        }

        Builder noClasses() {
            classes = List.of();
            return this;
        }

        Builder attempts(int n) {
            attempts = n;
            return this;
        }

        Builder zone(int z) {
            zone = z;
            return this;
        }

        Builder instances(int n) {
            instances = n;
            return this;
        }

        Builder grace(long g) {
            grace = g;
            return this;
        }

        Builder askForList() {
            ask = true;
            return this;
        }

        Builder noAdvicePromised() {
            advice = false;
            return this;
        }

        BalancerSettings build() {
            return BalancerSettingsBuilder.of(classes)
                    .instanceCount(instances)
                    .homeZone(zone)
                    .zoneCount(2)
                    .sharedGroups(true)
                    .endpointListPolled(ask)
                    .pollIntervalMicros(ASK)
                    .maxAttempts(attempts)
                    .connectTimeoutMicros(50_000)
                    .retryAfterHonored(advice)
                    .maxRetryAfterMicros(60_000_000)
                    .healthCheckCost(0.002)
                    .gossipAllowed(true)
                    .gossipCost(0.01)
                    .crossZoneCost(0.08)
                    .migrationCost(0.01)
                    .drainGraceMicros(grace)
                    .slowStartInitialFraction(0.3)
                    .slowStartDurationMicros(8_000_000)
                    .overloadMultiple(3)
                    .overloadWindowMicros(2_000_000)
                    .build();
        }
    }

    /** n servers, every third of them in the other zone; two to a cell. */
    List<BalancerAction> list(int n, int cells) {
        for (int i = 0; i < n; i++) {
            list.put(
                    "s" + i,
                    new EndpointEntry(
                            "s" + i, i % 3 == 2 ? 1 : 0, i / Math.max(1, cells), 0, 0, EndpointState.READY, 1));
        }
        return send(new EndpointListUpdate(EndpointListKind.CACHED, new ArrayList<>(list.values())));
    }

    int zoneOf(String server) {
        return list.get(server).zone();
    }

    int cellOf(String server) {
        return list.get(server).cell() * 10 + zoneOf(server);
    }

    void phase(String server, EndpointState phase) {
        change(server, phase, list.get(server).startedAtMicros());
        if (phase == EndpointState.READY) {
            leftAt.remove(server);
        } else {
            leftAt.putIfAbsent(server, now);
        }
    }

    void restart(String server) {
        leftAt.remove(server);
        change(server, EndpointState.READY, now);
    }

    private void change(String server, EndpointState phase, long startedAt) {
        EndpointEntry e = list.get(server);
        EndpointEntry changed =
                new EndpointEntry(server, e.zone(), e.cell(), e.machineKind(), startedAt, phase, e.rating());
        list.put(server, changed);
        send(new EndpointListUpdate(EndpointListKind.DELTA, List.of(changed)));
    }

    ConnectRequested ask(String id, String key) {
        return new ConnectRequested(id, 0, 0, key, null, now + DEADLINE, 0, false, false);
    }

    void request(String id, String key) {
        send(ask(id, key));
    }

    List<BalancerAction> send(BalancerEvent event) {
        if (event instanceof ConnectRequested r
                && r.classIndex() < settings.classes().size()) {
            owed.put(r.requestId(), r);
        }
        if (event instanceof ConnectionEstablished e) {
            StartAttempt a = flying.remove(e.requestId());
            if (a != null) {
                standing.put(e.requestId(), a);
            }
        } else if (event instanceof AttemptEnded e) {
            flying.remove(e.requestId());
            standing.remove(e.requestId());
            if (!e.outcome().notExecuted && !mayHaveRun.containsKey(e.requestId()) && list.containsKey(e.serverId())) {
                mayHaveRun.put(e.requestId(), list.get(e.serverId()));
                ranSince.put(e.requestId(), sentAt.getOrDefault(e.requestId(), now));
            }
            if (e.requestFinished()) {
                close(e.requestId());
            }
        } else if (event instanceof ClientDisconnected e) {
            close(e.requestId());
        }
        List<BalancerAction> actions = brain.handle(event, now);
        actions.forEach(this::check);
        log.addAll(actions);
        return actions;
    }

    private void close(String id) {
        if (owed.remove(id) != null) {
            answered.add(id);
        }
    }

    private void check(BalancerAction action) {
        if (action instanceof StartAttempt a) {
            ConnectRequested r = owed.get(a.requestId());
            assertNotNull(r, "attempt for a request that is over: " + a);
            assertTrue(now <= r.deadlineMicros(), "attempt past the deadline");
            assertNull(flying.put(a.requestId(), a), "two attempts out");
            assertFalse(standing.containsKey(a.requestId()), "attempt while the connection stands");
            Long left = leftAt.get(a.serverId());
            assertTrue(left == null || now - left <= settings.drainGraceMicros(), "sent past a drain's grace");
            int n = tries.merge(a.requestId(), 1, Integer::sum);
            assertTrue(n <= settings.maxAttempts(), "too many attempts");
            EndpointEntry ran = mayHaveRun.get(a.requestId());
            if (ran != null) {
                RequestClass c = settings.classes().get(r.classIndex());
                assertTrue(c.idempotency() != Idempotency.NOT_IDEMPOTENT, "unsafe request repeated");
                if (c.idempotency() == Idempotency.WITH_KEY) {
                    assertTrue(
                            now - ranSince.get(a.requestId()) <= c.deduplicationWindowMicros(),
                            "repeated past the window");
                    EndpointEntry to = list.get(a.serverId());
                    assertTrue(
                            c.deduplicationScope() == DeduplicationScope.ALL || to.zone() == ran.zone(),
                            "left its zone");
                    assertTrue(
                            c.deduplicationScope() != DeduplicationScope.CELL || to.cell() == ran.cell(),
                            "left its cell");
                }
            }
            attempts.put(a.requestId(), a);
            sentAt.put(a.requestId(), now);
        } else if (action instanceof Reject a) {
            answer(a.requestId());
            if (mayHaveRun.containsKey(a.requestId())) {
                RequestClass c = settings.classes().get(0);
                assertTrue(
                        c.idempotency() == Idempotency.IDEMPOTENT
                                || (c.idempotency() == Idempotency.WITH_KEY
                                        && c.deduplicationScope() == DeduplicationScope.ALL),
                        "refused what may have run");
            }
        } else if (action instanceof Fail a) {
            if (owed.containsKey(a.requestId())) {
                answer(a.requestId());
            }
        } else if (action instanceof SetTimer a) {
            assertTrue(a.delayMicros() > 0);
            timers.add(new long[] {now + a.delayMicros(), a.token()});
        }
    }

    private void answer(String id) {
        ConnectRequested r = owed.remove(id);
        assertNotNull(r, "answered twice: " + id);
        assertTrue(now <= r.deadlineMicros(), "answered late");
        assertFalse(flying.containsKey(id), "answered with an attempt out");
        answered.add(id);
    }

    /** Lets time pass; timers fire, attempts at their deadline time out. */
    void advance(long by) {
        long until = now + by;
        while (true) {
            long due = timers.isEmpty() ? Long.MAX_VALUE : timers.peek()[0];
            String overdue = null;
            for (StartAttempt a : flying.values()) {
                long end = sentAt.get(a.requestId()) + a.timeoutMicros();
                if (end < due) {
                    due = end;
                    overdue = a.requestId();
                }
            }
            if (due > until) {
                break;
            }
            now = Math.max(now, due);
            if (overdue != null) {
                settle(overdue, AttemptOutcome.TIMEOUT);
            } else {
                send(new TimerExpired(timers.poll()[1]));
            }
            for (ConnectRequested r : owed.values()) {
                assertTrue(
                        standing.containsKey(r.requestId()) || now <= r.deadlineMicros(),
                        "no answer in time: " + r.requestId());
            }
        }
        now = until;
    }

    private void settle(String id, AttemptOutcome outcome) {
        StartAttempt a = flying.containsKey(id) ? flying.get(id) : standing.get(id);
        boolean over = outcome == AttemptOutcome.OK || standing.containsKey(id);
        send(new AttemptEnded(id, tries.get(id) - 1, a.serverId(), outcome, over, now - sentAt.get(id), null));
    }

    void settleOne(Random chance) {
        Map<String, StartAttempt> from = flying.isEmpty() || chance.nextInt(3) == 0 ? standing : flying;
        if (from.isEmpty()) {
            return;
        }
        List<String> ids = new ArrayList<>(from.keySet());
        String id = ids.get(chance.nextInt(ids.size()));
        if (from == flying && chance.nextInt(2) == 0) {
            send(new ConnectionEstablished(id, tries.get(id) - 1, from.get(id).serverId(), now - sentAt.get(id)));
        } else {
            AttemptOutcome[] all = AttemptOutcome.values();
            AttemptOutcome o = all[chance.nextInt(all.length - 1)];
            settle(id, o == AttemptOutcome.OK && from == flying ? AttemptOutcome.REJECTED : o);
        }
    }

    void leaveOne(Random chance) {
        Iterator<String> ids = owed.keySet().iterator();
        if (ids.hasNext()) {
            String id = ids.next();
            if (!flying.containsKey(id) && !standing.containsKey(id)) {
                send(new ClientDisconnected(id));
            }
        }
    }

    /** Ends all; every request must have been answered. */
    void finish() {
        advance(3 * DEADLINE);
        for (String id : new ArrayList<>(standing.keySet())) {
            settle(id, AttemptOutcome.OK);
        }
        assertTrue(owed.isEmpty(), "never answered: " + owed.keySet());
    }
}
