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

/**
 * Several memberships on one simulated clock, with a simulated library that detects changes as slowly as the real one.
 */
class MembershipTest {
    private static final long TICK_MICROS = Membership.TICK_MICROS;
    /** The library removes a member after it has been unreachable for this time. */
    private static final long LIBRARY_TIMEOUT_MICROS = 6_000_000;

    /** An action at a time; actions at the same time run by ascending {@code order}. */
    private record ScheduledAction(long atMicros, long order, Runnable action) {}

    /** Simulates the processes, the links between them and the messages in flight. */
    private static final class Simulation {
        final SplittableRandom random;
        final List<Incarnation> incarnations = new ArrayList<>();
        final Map<String, Membership> memberships = new HashMap<>();
        final Set<String> killed = new HashSet<>();
        final Set<String> paused = new HashSet<>();
        final Set<String> blockedLinks = new HashSet<>();
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
            return !killed.contains(incarnation.id()) && !paused.contains(incarnation.id());
        }

        boolean passes(Incarnation from, Incarnation to) {
            return !blockedLinks.contains(from.id() + ">" + to.id());
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
         * {@code from} and the running members that it reaches directly or through other running members, over links
         * that satisfy the predicate.
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

        /** Delivers gossip to all members that the sender reaches directly or through other members. */
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

        /**
         * Updates the library's list at each running member: adds the members that it reaches directly or through
         * others over links that work in both directions, and removes the others after the timeout.
         */
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

        Map<String, MemberStatus> statuses(Incarnation observer) {
            return memberships.get(observer.id()).view(nowMicros).rows().stream()
                    .collect(Collectors.toMap(
                            row -> row.incarnation().id(), MemberTable.Row::status, (a, b) -> a, TreeMap::new));
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
                case 0 -> sim.blockedLinks.add(a.id() + ">" + b.id());
                case 1 -> sim.blockedLinks.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
                case 2 -> sim.paused.add(a.id());
                default -> sim.paused.remove(a.id());
            }
            sim.run(sim.random.nextLong(8_000_000));
        }
        sim.blockedLinks.clear();
        sim.paused.clear();
        sim.run(5_000_000);
        for (Incarnation observer : sim.incarnations) {
            assertThat(sim.statuses(observer).values())
                    .as("statuses in the view of " + observer.name() + " after all faults ended")
                    .containsOnly(MemberStatus.ALIVE);
        }
    }

    @Property(tries = 50)
    void receivedValuesWerePublishedAndVersionsNeverDecrease(@ForAll long seed) {
        Simulation sim = fleet(seed, 4);
        Map<String, Long> latestVersions = new HashMap<>();
        for (int step = 0; step < 30; step++) {
            Incarnation publisher = sim.incarnations.get(sim.random.nextInt(4));
            if (sim.running(publisher)) {
                sim.memberships.get(publisher.id()).publish("load", String.valueOf(step), sim.nowMicros);
            }
            Incarnation a = sim.incarnations.get(sim.random.nextInt(4));
            Incarnation b = sim.incarnations.get(sim.random.nextInt(4));
            if (!sim.blockedLinks.remove(a.id() + ">" + b.id())) {
                sim.blockedLinks.add(a.id() + ">" + b.id());
            }
            sim.run(sim.random.nextLong(2_000_000));
            for (Incarnation observer : sim.incarnations) {
                sim.memberships
                        .get(observer.id())
                        .view(sim.nowMicros)
                        .published()
                        .forEach((id, received) -> {
                            if (!id.equals(observer.id()) && received.values().version() > 0) {
                                Map<String, String> published = sim.publishedVersions
                                        .get(id)
                                        .get(received.values().version());
                                assertThat(published == null
                                                || published.equals(
                                                        received.values().entries()))
                                        .isTrue();
                                Long before = latestVersions.put(
                                        observer.id() + "<" + id,
                                        received.values().version());
                                assertThat(before == null
                                                || before <= received.values().version())
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
        sim.blockedLinks.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
        sim.run(4_000_000);
        for (int i = 0; i < 30; i++) {
            sim.run(1_000_000);
            for (Incarnation observer : sim.incarnations) {
                assertThat(sim.statuses(observer))
                        .as(observer.name())
                        .containsEntry(a.id(), MemberStatus.PARTIALLY_REACHABLE)
                        .containsEntry(b.id(), MemberStatus.PARTIALLY_REACHABLE)
                        .containsEntry(sim.incarnations.get(0).id(), MemberStatus.ALIVE);
            }
        }
    }

    @Test
    void unreachableMemberIsSuspectThenLost() {
        Simulation sim = fleet(2, 4);
        Incarnation lost = sim.incarnations.get(2);
        sim.killed.add(lost.id());
        sim.run(3_500_000);
        assertThat(sim.statuses(sim.incarnations.get(0))).containsEntry(lost.id(), MemberStatus.SUSPECT);
        sim.run(4_000_000);
        assertThat(sim.statuses(sim.incarnations.get(0))).containsEntry(lost.id(), MemberStatus.LOST);
        sim.start("m2");
        sim.run(4_000_000);
        assertThat(sim.statuses(sim.incarnations.get(0)))
                .containsEntry(lost.id(), MemberStatus.LOST)
                .containsEntry("m2-4", MemberStatus.ALIVE);
    }

    @Test
    void oneOfTwoStartingWithTheSameNameLosesIt() {
        Simulation sim = new Simulation(3);
        sim.start("same");
        sim.start("same");
        sim.run(3_000_000);
        List<String> owners = sim.incarnations.stream()
                .map(incarnation ->
                        sim.memberships.get(incarnation.id()).nameOwnerId().orElse(null))
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
     * The library removes a member that it cannot probe directly if one other member does not respond to the indirect
     * probe in time, even if others reach the member.
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
                .filter(row -> row.incarnation().id().equals(id))
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
     * The library may be late to discover a member that started on the other side of a partition, when all other
     * members already list it.
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
                .as("no member has reported that it reaches c")
                .noneMatch(row -> row.incarnation().name().equals("c"));
        membership.stateReceived(known.id(), new MemberState(1, Map.of(), Set.of(late.id()), Set.of()), 2);
        assertThat(status(membership, "c", 3)).isEqualTo(MemberStatus.PARTIALLY_REACHABLE);
        List<Incarnation> probed = new ArrayList<>();
        for (long nowMicros = 100_000; nowMicros <= 2_000_000; nowMicros += TICK_MICROS) {
            probed.addAll(membership.tick(nowMicros));
        }
        assertThat(probed).contains(late);
        membership.probeAnswered(
                late,
                new ProbeResponse(1, late.id(), "c", new MemberState(1, Map.of("k", "v"), Set.of(), Set.of()), true),
                2_000_001);
        assertThat(status(membership, "c", 2_000_002)).isEqualTo(MemberStatus.ALIVE);
        membership.memberLeft(late.id(), 3_000_000);
        membership.memberDiscovered(late.id(), late, 3_000_001);
        assertThat(status(membership, "c", 3_000_002))
                .as("a member that has left does not return")
                .isEqualTo(MemberStatus.LEFT);
    }

    private static MemberStatus status(Membership membership, String name, long nowMicros) {
        return membership.view(nowMicros).rows().stream()
                .filter(row -> row.incarnation().name().equals(name))
                .findFirst()
                .orElseThrow()
                .status();
    }
}
