package sandstack.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeResponse;

/** Several memberships on one simulated clock, with a library that detects changes as slowly as the real one. */
class MembershipTest {
    private static final long TICK_MICROS = Membership.TICK_MICROS;
    /** The library removes a member that has been unreachable for so long. */
    private static final long LIBRARY_TIMEOUT_MICROS = 6_000_000;

    /** An action at a time; {@code order} decides between equal times. */
    private record ScheduledAction(long atMicros, long order, Runnable action) {}

    /** The processes, the links between them and the messages in flight. */
    private static final class Simulation {
        final SplittableRandom random;
        final List<Incarnation> incarnations = new ArrayList<>();
        final Map<String, Membership> memberships = new HashMap<>();
        final Set<String> dead = new HashSet<>();
        final Set<String> paused = new HashSet<>();
        final Set<String> cutLinks = new HashSet<>();
        final Map<String, Long> unreachableSince = new HashMap<>();
        final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledAction::atMicros).thenComparingLong(ScheduledAction::order));
        /** The values of every state that was gossiped, by incarnation id and version. */
        final Map<String, Map<Long, Map<String, String>>> publishedVersions = new HashMap<>();

        long nowMicros = 1_000_000;
        long order;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
        }

        void start(String name) {
            Incarnation incarnation = new Incarnation(name + "-" + incarnations.size(), name, "z", name, name);
            incarnations.add(incarnation);
            memberships.put(incarnation.id(), new Membership(incarnation, nowMicros, random.split()));
        }

        boolean running(Incarnation incarnation) {
            return !dead.contains(incarnation.id()) && !paused.contains(incarnation.id());
        }

        boolean passes(Incarnation from, Incarnation to) {
            return !cutLinks.contains(from.id() + ">" + to.id());
        }

        void after(long micros, Runnable action) {
            scheduled.add(new ScheduledAction(nowMicros + micros, order++, action));
        }

        long latencyMicros() {
            return 200 + random.nextLong(2_000);
        }

        /** One probe and its response. */
        void probe(Incarnation a, Incarnation b) {
            FleetMessages.ProbeRequest request = memberships.get(a.id()).probeRequest(b);
            boolean[] answered = {false};
            after(latencyMicros(), () -> {
                if (running(b) && passes(a, b)) {
                    ProbeResponse response = memberships.get(b.id()).handleProbe(request, nowMicros);
                    after(latencyMicros(), () -> {
                        if (running(a) && passes(b, a) && !answered[0]) {
                            answered[0] = true;
                            memberships.get(a.id()).probeAnswered(b, response, nowMicros);
                        }
                    });
                }
            });
            after(400_000, () -> {
                if (running(a) && !answered[0]) {
                    answered[0] = true;
                    memberships.get(a.id()).probeTimedOut(b);
                }
            });
        }

        /**
         * The running members that one reaches over a chain of running members, by links that satisfy the predicate.
         */
        Set<Incarnation> reachableByChain(Incarnation from, BiPredicate<Incarnation, Incarnation> link) {
            Set<Incarnation> reachable = new HashSet<>(Set.of(from));
            for (boolean grew = true; grew; ) {
                Set<Incarnation> next = new HashSet<>(reachable);
                for (Incarnation a : reachable) {
                    incarnations.stream()
                            .filter(b -> running(b) && link.test(a, b))
                            .forEach(next::add);
                }
                grew = next.size() > reachable.size();
                reachable = next;
            }
            return reachable;
        }

        /** Gossip reaches all members that a chain of members reaches. */
        void gossip(Incarnation from, MemberState state) {
            for (Incarnation to : reachableByChain(from, this::passes)) {
                if (!to.equals(from)) {
                    after(5 * latencyMicros(), () -> {
                        if (running(to)) {
                            memberships.get(to.id()).stateReceived(from.id(), state, nowMicros);
                        }
                    });
                }
            }
        }

        void run(long durationMicros) {
            long endMicros = nowMicros + durationMicros;
            long tick = nowMicros;
            while (nowMicros < endMicros) {
                tick += TICK_MICROS;
                while (!scheduled.isEmpty() && scheduled.peek().atMicros() <= tick) {
                    ScheduledAction next = scheduled.poll();
                    nowMicros = Math.max(nowMicros, next.atMicros());
                    next.action().run();
                }
                nowMicros = tick;
                updateLibrary();
                for (Incarnation incarnation : List.copyOf(incarnations)) {
                    if (running(incarnation)) {
                        Membership membership = memberships.get(incarnation.id());
                        membership.tick(nowMicros).forEach(other -> probe(incarnation, other));
                        MemberState state = membership.stateToGossip(nowMicros);
                        if (state != null) {
                            publishedVersions
                                    .computeIfAbsent(incarnation.id(), i -> new HashMap<>())
                                    .put(state.version(), state.values());
                            gossip(incarnation, state);
                        }
                    }
                }
            }
        }

        /** Adds the members that each one reaches by a chain, and removes the others after the timeout. */
        private void updateLibrary() {
            for (Incarnation a : incarnations) {
                if (!running(a)) {
                    continue;
                }
                Set<Incarnation> chain = reachableByChain(a, (x, y) -> passes(x, y) && passes(y, x));
                for (Incarnation b : incarnations) {
                    String key = a.id() + ">" + b.id();
                    if (a.equals(b)) {
                        continue;
                    }
                    if (chain.contains(b)) {
                        unreachableSince.remove(key);
                        memberships.get(a.id()).memberAdded(b, nowMicros);
                    } else if (nowMicros - unreachableSince.computeIfAbsent(key, k -> nowMicros)
                            >= LIBRARY_TIMEOUT_MICROS) {
                        memberships.get(a.id()).memberRemoved(b.id(), nowMicros);
                    }
                }
            }
        }

        Map<String, MemberStatus> statuses(Incarnation by) {
            return memberships.get(by.id()).view(nowMicros).rows().stream()
                    .collect(Collectors.toMap(
                            l -> l.incarnation().id(), MemberTable.Row::status, (a, b) -> a, TreeMap::new));
        }
    }

    private static Simulation fleet(long seed, int size) {
        Simulation sim = new Simulation(seed);
        for (int i = 0; i < size; i++) {
            sim.start("m" + i);
        }
        sim.run(4_000_000);
        return sim;
    }

    @Property(tries = 50)
    void viewsConvergeFiveSecondsAfterAllFaultsEnd(@ForAll long seed) {
        Simulation sim = fleet(seed, 6);
        for (int fault = 0; fault < 6; fault++) {
            Incarnation a = sim.incarnations.get(sim.random.nextInt(6));
            Incarnation b = sim.incarnations.get(sim.random.nextInt(6));
            switch (sim.random.nextInt(4)) {
                case 0 -> sim.cutLinks.add(a.id() + ">" + b.id());
                case 1 -> sim.cutLinks.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
                case 2 -> sim.paused.add(a.id());
                default -> sim.paused.remove(a.id());
            }
            sim.run(sim.random.nextLong(8_000_000));
        }
        sim.cutLinks.clear();
        sim.paused.clear();
        sim.run(5_000_000);
        for (Incarnation by : sim.incarnations) {
            assertThat(sim.statuses(by).values())
                    .as("as " + by.name() + " sees them")
                    .containsOnly(MemberStatus.ALIVE);
        }
    }

    @Property(tries = 50)
    void receivedValuesWerePublishedAndNeverGoBack(@ForAll long seed) {
        Simulation sim = fleet(seed, 4);
        Map<String, Long> newest = new HashMap<>();
        for (int step = 0; step < 30; step++) {
            Incarnation publisher = sim.incarnations.get(sim.random.nextInt(4));
            if (sim.running(publisher)) {
                sim.memberships.get(publisher.id()).publish("load", String.valueOf(step), sim.nowMicros);
            }
            Incarnation a = sim.incarnations.get(sim.random.nextInt(4));
            Incarnation b = sim.incarnations.get(sim.random.nextInt(4));
            if (!sim.cutLinks.remove(a.id() + ">" + b.id())) {
                sim.cutLinks.add(a.id() + ">" + b.id());
            }
            sim.run(sim.random.nextLong(2_000_000));
            for (Incarnation by : sim.incarnations) {
                sim.memberships.get(by.id()).view(sim.nowMicros).published().forEach((id, held) -> {
                    if (!id.equals(by.id()) && held.values().version() > 0) {
                        Map<String, String> published =
                                sim.publishedVersions.get(id).get(held.values().version());
                        assertThat(published == null
                                        || published.equals(held.values().entries()))
                                .isTrue();
                        Long before =
                                newest.put(by.id() + "<" + id, held.values().version());
                        assertThat(before == null || before <= held.values().version())
                                .isTrue();
                    }
                });
            }
        }
    }

    @Test
    void memberReachableBySomeStaysPartiallyReachable() {
        Simulation sim = fleet(1, 5);
        Incarnation a = sim.incarnations.get(1);
        Incarnation b = sim.incarnations.get(3);
        sim.cutLinks.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
        sim.run(4_000_000);
        for (int i = 0; i < 30; i++) {
            sim.run(1_000_000);
            for (Incarnation by : sim.incarnations) {
                assertThat(sim.statuses(by))
                        .as(by.name())
                        .containsEntry(a.id(), MemberStatus.PARTIALLY_REACHABLE)
                        .containsEntry(b.id(), MemberStatus.PARTIALLY_REACHABLE)
                        .containsEntry(sim.incarnations.get(0).id(), MemberStatus.ALIVE);
            }
        }
    }

    @Test
    void unreachableMemberIsSuspectThenLost() {
        Simulation sim = fleet(2, 4);
        Incarnation gone = sim.incarnations.get(2);
        sim.dead.add(gone.id());
        sim.run(3_500_000);
        assertThat(sim.statuses(sim.incarnations.get(0))).containsEntry(gone.id(), MemberStatus.SUSPECT);
        sim.run(4_000_000);
        assertThat(sim.statuses(sim.incarnations.get(0))).containsEntry(gone.id(), MemberStatus.LOST);
        sim.start("m2");
        sim.run(4_000_000);
        assertThat(sim.statuses(sim.incarnations.get(0)))
                .containsEntry(gone.id(), MemberStatus.LOST)
                .containsEntry("m2-4", MemberStatus.ALIVE);
    }

    @Test
    void oneOfTwoStartingWithTheSameNameLosesIt() {
        Simulation sim = new Simulation(3);
        sim.start("same");
        sim.start("same");
        sim.run(3_000_000);
        List<String> owners = sim.incarnations.stream()
                .map(l -> sim.memberships.get(l.id()).nameOwnerId().orElse(null))
                .toList();
        assertThat(owners).containsExactly(null, "same-0");
        assertThat(sim.memberships.get("same-0").ownsName()).isTrue();
        assertThat(sim.memberships.get("same-1").ownsName()).isFalse();
    }

    @Test
    void ownerKeepsItsNameAgainstALaterMemberWithALowerId() {
        Simulation sim = new Simulation(4);
        sim.start("b");
        sim.run(3_000_000);
        Incarnation later = new Incarnation("a-0", "b", "z", "b", "b");
        sim.incarnations.add(later);
        sim.memberships.put(later.id(), new Membership(later, sim.nowMicros, new SplittableRandom(1)));
        sim.run(3_000_000);
        assertThat(sim.memberships.get("a-0").nameOwnerId()).hasValue("b-0");
        assertThat(sim.memberships.get("b-0").nameOwnerId()).isEmpty();
    }

    @Test
    void memberThatLeftStaysLeftAndValuesAreBounded() {
        Simulation sim = fleet(5, 2);
        Membership membership = sim.memberships.get("m0-0");
        membership.memberLeft("m1-1", sim.nowMicros);
        membership.memberRemoved("m1-1", sim.nowMicros);
        membership.memberAdded(sim.incarnations.get(1), sim.nowMicros);
        assertThat(sim.statuses(sim.incarnations.get(0))).containsEntry("m1-1", MemberStatus.LEFT);
        assertThatThrownBy(() -> membership.publish("k", "x".repeat(MemberValues.MAX_LENGTH + 1), 0))
                .hasMessageContaining("longer than");
        for (int i = 0; i < MemberValues.MAX_VALUES; i++) {
            membership.publish("k" + i, "v", 0);
        }
        assertThatThrownBy(() -> membership.publish("one more", "v", 0)).hasMessageContaining("at most");
    }

    /**
     * The library removes a member that it cannot probe if one other does not respond in time, although others reach
     * it.
     */
    @Test
    void memberRemovedByTheLibraryStaysWhileAnotherReachesIt() {
        MemberTable table = new MemberTable(new Incarnation("me", "me", "z", "m", "a"), 0);
        table.memberAdded(new Incarnation("x", "x", "z", "m", "a"), 1);
        table.memberAdded(new Incarnation("y", "y", "z", "m", "a"), 1);
        table.reachReported("me", Set.of("y"), Set.of("x"));
        table.reachReported("y", Set.of("me", "x"), Set.of());
        table.memberRemoved("x", 2);
        assertThat(status(table, "x")).isEqualTo(MemberStatus.PARTIALLY_REACHABLE);
        assertThat(table.otherMemberIds()).containsExactlyInAnyOrder("x", "y");
        table.reachReported("y", Set.of("me"), Set.of("x"));
        assertThat(status(table, "x")).isEqualTo(MemberStatus.LOST);
        assertThat(table.otherMemberIds()).containsExactly("y");
        table.reachReported("y", Set.of("me", "x"), Set.of());
        table.memberRemoved("y", 3);
        // reports of a departed member do not count
        assertThat(status(table, "x")).isEqualTo(MemberStatus.LOST);
        table.memberAdded(new Incarnation("x", "x", "z", "m", "a"), 4);
        assertThat(status(table, "x")).isEqualTo(MemberStatus.SUSPECT);
    }

    private static MemberStatus status(MemberTable table, String id) {
        return table.rows(9).stream()
                .filter(l -> l.incarnation().id().equals(id))
                .findFirst()
                .orElseThrow()
                .status();
    }

    @Test
    void onlyTheLatestDepartedMembersAreRetained() {
        MemberTable table = new MemberTable(new Incarnation("me", "me", "z", "m", "a"), 0);
        for (int i = 0; i < 10_000; i++) {
            table.memberAdded(new Incarnation("x" + i, "n" + i, "z", "m", "a"), i);
            table.memberRemoved("x" + i, i);
        }
        assertThat(table.rows(10_000)).hasSize(1 + MemberTable.MAX_DEPARTED);
    }

    /**
     * Two that started on both sides of a partition: the library may discover one of them late, when all others know
     * it.
     */
    @Test
    void memberDiscoveredByGossipIsProbedAndCountsOnceItAnswers() {
        Incarnation self = new Incarnation("a-0", "a", "z", "m", "a");
        Incarnation known = new Incarnation("b-1", "b", "z", "m", "b");
        Incarnation late = new Incarnation("c-2", "c", "z", "m", "c");
        Membership membership = new Membership(self, 0, new SplittableRandom(1));
        membership.memberAdded(known, 0);
        membership.memberDiscovered(late.id(), late, 1);
        membership.memberDiscovered("x-9", late, 1);
        membership.memberDiscovered(self.id(), null, 1);
        assertThat(membership.view(1).rows())
                .as("nobody has said that they reach it")
                .noneMatch(l -> l.incarnation().name().equals("c"));
        membership.stateReceived(known.id(), new MemberState(1, Map.of(), Set.of(late.id()), Set.of()), 2);
        assertThat(status(membership, "c", 3)).isEqualTo(MemberStatus.PARTIALLY_REACHABLE);
        List<Incarnation> probed = new ArrayList<>();
        for (long now = 100_000; now <= 2_000_000; now += TICK_MICROS) {
            probed.addAll(membership.tick(now));
        }
        assertThat(probed).contains(late);
        membership.probeAnswered(
                late,
                new ProbeResponse(1, late.id(), "c", new MemberState(1, Map.of("k", "v"), Set.of(), Set.of()), true),
                2_000_001);
        assertThat(status(membership, "c", 2_000_002)).isEqualTo(MemberStatus.ALIVE);
        membership.memberLeft(late.id(), 3_000_000);
        membership.memberDiscovered(late.id(), late, 3_000_001);
        assertThat(status(membership, "c", 3_000_002)).as("who left stays left").isEqualTo(MemberStatus.LEFT);
    }

    private static MemberStatus status(Membership membership, String name, long now) {
        return membership.view(now).rows().stream()
                .filter(line -> line.incarnation().name().equals(name))
                .findFirst()
                .orElseThrow()
                .status();
    }
}
