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
import sandstack.capacity.Limits;
import sandstack.capacity.Stated;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ClientGone;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.Event;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.ServerEntry;
import sandstack.decisions.Decisions.ServerList;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.TimerDue;
import sandstack.settings.SettingsBuilder;

/** Feeds one Brain and checks each of its actions against the rules. */
final class Rig {
    /** What an operator may state: a load, and the price of a group. */
    static final Stated.Book PLATFORM = new Stated.Book(new Stated(1e6, 0, true, 1e6 / 15, 3), List.of());

    static final long AIM = 320_000;
    static final long DEADLINE = 2_000_000;
    static final long WINDOW = 800_000;
    static final long GRACE = 1_000_000;
    static final long ASK = 10_000_000;
    static final long MESSAGE = 100_000;

    long now = 50_000_000;
    final long start = now;
    final Brain brain;
    final Settings settings;
    final Map<String, Attempt> attempts = new HashMap<>();
    final Map<String, Integer> tries = new HashMap<>();
    final Set<String> answered = new HashSet<>();
    final List<Action> log = new ArrayList<>();
    private final Map<String, ServerEntry> list = new LinkedHashMap<>();
    private final Map<String, Long> leftAt = new HashMap<>();
    private final Map<String, ConnectRequest> owed = new LinkedHashMap<>();
    private final Map<String, Attempt> flying = new LinkedHashMap<>();
    private final Map<String, Attempt> standing = new LinkedHashMap<>();
    private final Map<String, ServerEntry> mayHaveRun = new HashMap<>();
    private final Map<String, Long> ranSince = new HashMap<>();
    private final Map<String, Long> sentAt = new HashMap<>();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));

    Rig(Settings settings, long seed) {
        this(settings, PLATFORM, Limits.NONE, seed);
    }

    Rig(Settings settings, Stated.Book book, Limits limits, long seed) {
        this.settings = settings;
        brain = new Brain(settings, book, limits, seed, now);
    }

    static Builder settings() {
        return new Builder();
    }

    /** Settings to vary in a test. */
    static final class Builder {
        private List<RequestClass> classes = List.of(cls(Repeat.SAFE, Scope.ALL));
        private int attempts = 4;
        private int zone;
        private int instances = 10;
        private long grace = GRACE;
        private boolean ask;
        private boolean advice = true;

        private static RequestClass cls(Repeat repeat, Scope scope) {
            return cls(1, repeat, scope);
        }

        private static RequestClass cls(double worth, Repeat repeat, Scope scope) {
            return new RequestClass(AIM, DEADLINE, worth, repeat, scope, WINDOW, MESSAGE);
        }

        Builder classes(double worth, double otherWorth) {
            classes = List.of(cls(worth, Repeat.SAFE, Scope.ALL), cls(otherWorth, Repeat.SAFE, Scope.ALL));
            return this;
        }

        Builder repeat(Repeat repeat, Scope scope) {
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

        Settings build() {
            return SettingsBuilder.of(classes)
                    .instances(instances)
                    .homeZone(zone)
                    .zones(2)
                    .sharedGroups(true)
                    .listOnRequest(ask)
                    .askWithin(ASK)
                    .maxAttempts(attempts)
                    .connectTimeout(50_000)
                    .retryAfter(advice)
                    .maxRetryAfter(60_000_000)
                    .probePrice(0.002)
                    .peers(true)
                    .peerPrice(0.01)
                    .crossZonePrice(0.08)
                    .movePrice(0.01)
                    .drainGrace(grace)
                    .coldFrom(0.3)
                    .warmAfter(8_000_000)
                    .tipMultiple(3)
                    .tipAfter(2_000_000)
                    .build();
        }
    }

    /** n servers, every third of them in the other zone; two to a cell. */
    List<Action> list(int n, int cells) {
        for (int i = 0; i < n; i++) {
            list.put(
                    "s" + i,
                    new ServerEntry("s" + i, i % 3 == 2 ? 1 : 0, i / Math.max(1, cells), 0, 0, Phase.READY, 1));
        }
        return send(new ServerList(ListKind.SAVED, new ArrayList<>(list.values())));
    }

    int zoneOf(String server) {
        return list.get(server).zone();
    }

    int cellOf(String server) {
        return list.get(server).cell() * 10 + zoneOf(server);
    }

    void phase(String server, Phase phase) {
        change(server, phase, list.get(server).startedAt());
        if (phase == Phase.READY) {
            leftAt.remove(server);
        } else {
            leftAt.putIfAbsent(server, now);
        }
    }

    void restart(String server) {
        leftAt.remove(server);
        change(server, Phase.READY, now);
    }

    private void change(String server, Phase phase, long startedAt) {
        ServerEntry e = list.get(server);
        ServerEntry changed = new ServerEntry(server, e.zone(), e.cell(), e.kind(), startedAt, phase, e.rating());
        list.put(server, changed);
        send(new ServerList(ListKind.CHANGES, List.of(changed)));
    }

    ConnectRequest ask(String id, String key) {
        return new ConnectRequest(id, 0, 0, key, null, now + DEADLINE, 0, false, false);
    }

    void request(String id, String key) {
        send(ask(id, key));
    }

    List<Action> send(Event event) {
        if (event instanceof ConnectRequest r
                && r.requestClass() < settings.classes().size()) {
            owed.put(r.id(), r);
        }
        if (event instanceof Established e) {
            Attempt a = flying.remove(e.id());
            if (a != null) {
                standing.put(e.id(), a);
            }
        } else if (event instanceof AttemptEnded e) {
            flying.remove(e.id());
            standing.remove(e.id());
            if (!e.outcome().neverRan && !mayHaveRun.containsKey(e.id()) && list.containsKey(e.server())) {
                mayHaveRun.put(e.id(), list.get(e.server()));
                ranSince.put(e.id(), sentAt.getOrDefault(e.id(), now));
            }
            if (e.requestOver()) {
                close(e.id());
            }
        } else if (event instanceof ClientGone e) {
            close(e.id());
        }
        List<Action> actions = brain.on(event, now);
        actions.forEach(this::check);
        log.addAll(actions);
        return actions;
    }

    private void close(String id) {
        if (owed.remove(id) != null) {
            answered.add(id);
        }
    }

    private void check(Action action) {
        if (action instanceof Attempt a) {
            ConnectRequest r = owed.get(a.id());
            assertNotNull(r, "attempt for a request that is over: " + a);
            assertTrue(now <= r.deadline(), "attempt past the deadline");
            assertNull(flying.put(a.id(), a), "two attempts out");
            assertFalse(standing.containsKey(a.id()), "attempt while the connection stands");
            Long left = leftAt.get(a.server());
            assertTrue(left == null || now - left <= settings.drainGrace(), "sent past a drain's grace");
            int n = tries.merge(a.id(), 1, Integer::sum);
            assertTrue(n <= settings.maxAttempts(), "too many attempts");
            ServerEntry ran = mayHaveRun.get(a.id());
            if (ran != null) {
                RequestClass c = settings.classes().get(r.requestClass());
                assertTrue(c.repeat() != Repeat.UNSAFE, "unsafe request repeated");
                if (c.repeat() == Repeat.KEYED) {
                    assertTrue(now - ranSince.get(a.id()) <= c.window(), "repeated past the window");
                    ServerEntry to = list.get(a.server());
                    assertTrue(c.scope() == Scope.ALL || to.zone() == ran.zone(), "left its zone");
                    assertTrue(c.scope() != Scope.CELL || to.cell() == ran.cell(), "left its cell");
                }
            }
            attempts.put(a.id(), a);
            sentAt.put(a.id(), now);
        } else if (action instanceof Refuse a) {
            answer(a.id());
            if (mayHaveRun.containsKey(a.id())) {
                RequestClass c = settings.classes().get(0);
                assertTrue(
                        c.repeat() == Repeat.SAFE || (c.repeat() == Repeat.KEYED && c.scope() == Scope.ALL),
                        "refused what may have run");
            }
        } else if (action instanceof Fail a) {
            if (owed.containsKey(a.id())) {
                answer(a.id());
            }
        } else if (action instanceof SetTimer a) {
            assertTrue(a.after() > 0);
            timers.add(new long[] {now + a.after(), a.token()});
        }
    }

    private void answer(String id) {
        ConnectRequest r = owed.remove(id);
        assertNotNull(r, "answered twice: " + id);
        assertTrue(now <= r.deadline(), "answered late");
        assertFalse(flying.containsKey(id), "answered with an attempt out");
        answered.add(id);
    }

    /** Lets time pass; timers fire, attempts at their deadline time out. */
    void advance(long by) {
        long until = now + by;
        while (true) {
            long due = timers.isEmpty() ? Long.MAX_VALUE : timers.peek()[0];
            String overdue = null;
            for (Attempt a : flying.values()) {
                long end = sentAt.get(a.id()) + a.timeout();
                if (end < due) {
                    due = end;
                    overdue = a.id();
                }
            }
            if (due > until) {
                break;
            }
            now = Math.max(now, due);
            if (overdue != null) {
                settle(overdue, Outcome.TIMEOUT);
            } else {
                send(new TimerDue(timers.poll()[1]));
            }
            for (ConnectRequest r : owed.values()) {
                assertTrue(standing.containsKey(r.id()) || now <= r.deadline(), "no answer in time: " + r.id());
            }
        }
        now = until;
    }

    private void settle(String id, Outcome outcome) {
        Attempt a = flying.containsKey(id) ? flying.get(id) : standing.get(id);
        boolean over = outcome == Outcome.OK || standing.containsKey(id);
        send(new AttemptEnded(id, tries.get(id) - 1, a.server(), outcome, over, now - sentAt.get(id), null));
    }

    void settleOne(Random chance) {
        Map<String, Attempt> from = flying.isEmpty() || chance.nextInt(3) == 0 ? standing : flying;
        if (from.isEmpty()) {
            return;
        }
        List<String> ids = new ArrayList<>(from.keySet());
        String id = ids.get(chance.nextInt(ids.size()));
        if (from == flying && chance.nextInt(2) == 0) {
            send(new Established(id, tries.get(id) - 1, from.get(id).server(), now - sentAt.get(id)));
        } else {
            Outcome[] all = Outcome.values();
            Outcome o = all[chance.nextInt(all.length - 1)];
            settle(id, o == Outcome.OK && from == flying ? Outcome.FULL : o);
        }
    }

    void leaveOne(Random chance) {
        Iterator<String> ids = owed.keySet().iterator();
        if (ids.hasNext()) {
            String id = ids.next();
            if (!flying.containsKey(id) && !standing.containsKey(id)) {
                send(new ClientGone(id));
            }
        }
    }

    /** Ends all; every request must have been answered. */
    void finish() {
        advance(3 * DEADLINE);
        for (String id : new ArrayList<>(standing.keySet())) {
            settle(id, Outcome.OK);
        }
        assertTrue(owed.isEmpty(), "never answered: " + owed.keySet());
    }
}
