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
import sandstack.fleet.FleetMessages.Answer;
import sandstack.fleet.FleetMessages.News;

/** Many memberships in one simulated clock, with a library that is as slow and as blind as the real one. */
class MembershipTest {
    private static final long TURN = Membership.TURN;
    /** The library gives a member up so long after nobody reaches it. */
    private static final long GIVES_UP = 6_000_000;

    /** Something to do at a time; {@code order} settles equal times. */
    private record Due(long at, long order, Runnable what) {}

    /** The world: who lives, what passes, what is on its way. */
    private static final class Sim {
        final SplittableRandom chance;
        final List<Incarnation> lives = new ArrayList<>();
        final Map<String, Membership> members = new HashMap<>();
        final Set<String> dead = new HashSet<>();
        final Set<String> paused = new HashSet<>();
        final Set<String> cut = new HashSet<>();
        final Map<String, Long> unseen = new HashMap<>();
        final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        /** Every state that a life ever told, by its number. */
        final Map<String, Map<Long, Map<String, String>>> toldTrue = new HashMap<>();

        long now = 1_000_000;
        long order;

        Sim(long seed) {
            chance = new SplittableRandom(seed);
        }

        void start(String name) {
            Incarnation life = new Incarnation(name + "-" + lives.size(), name, "z", name, name);
            lives.add(life);
            members.put(life.id(), new Membership(life, now, chance.split()));
        }

        boolean up(Incarnation life) {
            return !dead.contains(life.id()) && !paused.contains(life.id());
        }

        boolean passes(Incarnation from, Incarnation to) {
            return !cut.contains(from.id() + ">" + to.id());
        }

        void after(long micros, Runnable what) {
            due.add(new Due(now + micros, order++, what));
        }

        long way() {
            return 200 + chance.nextLong(2_000);
        }

        /** One direct question and its answer. */
        void ask(Incarnation a, Incarnation b) {
            FleetMessages.Question question = members.get(a.id()).question(b);
            boolean[] answered = {false};
            after(way(), () -> {
                if (up(b) && passes(a, b)) {
                    Answer answer = members.get(b.id()).answer(question, now);
                    after(way(), () -> {
                        if (up(a) && passes(b, a) && !answered[0]) {
                            answered[0] = true;
                            members.get(a.id()).answered(b, answer, now);
                        }
                    });
                }
            });
            after(400_000, () -> {
                if (up(a) && !answered[0]) {
                    answered[0] = true;
                    members.get(a.id()).missed(b);
                }
            });
        }

        /** Whom a member that is up reaches over others that are up, where each link is such a one. */
        Set<Incarnation> chain(Incarnation from, BiPredicate<Incarnation, Incarnation> link) {
            Set<Incarnation> reached = new HashSet<>(Set.of(from));
            for (boolean grew = true; grew; ) {
                Set<Incarnation> next = new HashSet<>(reached);
                for (Incarnation a : reached) {
                    lives.stream().filter(b -> up(b) && link.test(a, b)).forEach(next::add);
                }
                grew = next.size() > reached.size();
                reached = next;
            }
            return reached;
        }

        /** What one member spreads reaches whoever some chain of members reaches. */
        void spread(Incarnation from, News news) {
            for (Incarnation to : chain(from, this::passes)) {
                if (to != from) {
                    after(5 * way(), () -> {
                        if (up(to)) {
                            members.get(to.id()).heard(from.id(), news, now);
                        }
                    });
                }
            }
        }

        void run(long length) {
            long until = now + length;
            long turn = now;
            while (now < until) {
                turn += TURN;
                while (!due.isEmpty() && due.peek().at() <= turn) {
                    Due d = due.poll();
                    now = Math.max(now, d.at());
                    d.what().run();
                }
                now = turn;
                library();
                for (Incarnation life : List.copyOf(lives)) {
                    if (up(life)) {
                        Membership m = members.get(life.id());
                        m.turn(now).forEach(other -> ask(life, other));
                        News news = m.spread(now);
                        if (news != null) {
                            toldTrue.computeIfAbsent(life.id(), i -> new HashMap<>())
                                    .put(news.number(), news.values());
                            spread(life, news);
                        }
                    }
                }
            }
        }

        /** Whom each can reach by any chain is added, whom nobody can is given up after a while. */
        private void library() {
            for (Incarnation a : lives) {
                if (!up(a)) {
                    continue;
                }
                Set<Incarnation> chain = chain(a, (x, y) -> passes(x, y) && passes(y, x));
                for (Incarnation b : lives) {
                    String key = a.id() + ">" + b.id();
                    if (a == b) {
                        continue;
                    }
                    if (chain.contains(b)) {
                        unseen.remove(key);
                        members.get(a.id()).added(b, now);
                    } else if (now - unseen.computeIfAbsent(key, k -> now) >= GIVES_UP) {
                        members.get(a.id()).removed(b.id(), now);
                    }
                }
            }
        }

        Map<String, MemberStatus> seen(Incarnation by) {
            return members.get(by.id()).view(now).lines().stream()
                    .collect(
                            Collectors.toMap(l -> l.life().id(), MemberTable.Row::standing, (a, b) -> a, TreeMap::new));
        }
    }

    private static Sim fleet(long seed, int size) {
        Sim sim = new Sim(seed);
        for (int i = 0; i < size; i++) {
            sim.start("m" + i);
        }
        sim.run(4_000_000);
        return sim;
    }

    @Property(tries = 50)
    void viewsAreEqualFiveSecondsAfterWhateverHappenedIsOver(@ForAll long seed) {
        Sim sim = fleet(seed, 6);
        for (int fault = 0; fault < 6; fault++) {
            Incarnation a = sim.lives.get(sim.chance.nextInt(6));
            Incarnation b = sim.lives.get(sim.chance.nextInt(6));
            switch (sim.chance.nextInt(4)) {
                case 0 -> sim.cut.add(a.id() + ">" + b.id());
                case 1 -> sim.cut.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
                case 2 -> sim.paused.add(a.id());
                default -> sim.paused.remove(a.id());
            }
            sim.run(sim.chance.nextLong(8_000_000));
        }
        sim.cut.clear();
        sim.paused.clear();
        sim.run(5_000_000);
        for (Incarnation by : sim.lives) {
            assertThat(sim.seen(by).values())
                    .as("as " + by.name() + " sees them")
                    .containsOnly(MemberStatus.ALIVE);
        }
    }

    @Property(tries = 50)
    void whatIsHeldOfAMemberIsAlwaysSomethingThatItToldAndNeverGoesBack(@ForAll long seed) {
        Sim sim = fleet(seed, 4);
        Map<String, Long> newest = new HashMap<>();
        for (int step = 0; step < 30; step++) {
            Incarnation teller = sim.lives.get(sim.chance.nextInt(4));
            if (sim.up(teller)) {
                sim.members.get(teller.id()).tell("load", String.valueOf(step), sim.now);
            }
            Incarnation a = sim.lives.get(sim.chance.nextInt(4));
            Incarnation b = sim.lives.get(sim.chance.nextInt(4));
            if (!sim.cut.remove(a.id() + ">" + b.id())) {
                sim.cut.add(a.id() + ">" + b.id());
            }
            sim.run(sim.chance.nextLong(2_000_000));
            for (Incarnation by : sim.lives) {
                sim.members.get(by.id()).view(sim.now).told().forEach((id, held) -> {
                    if (!id.equals(by.id()) && held.state().number() > 0) {
                        Map<String, String> told =
                                sim.toldTrue.get(id).get(held.state().number());
                        assertThat(told == null || told.equals(held.state().values()))
                                .isTrue();
                        Long before =
                                newest.put(by.id() + "<" + id, held.state().number());
                        assertThat(before == null || before <= held.state().number())
                                .isTrue();
                    }
                });
            }
        }
    }

    @Test
    void aMemberThatSomeReachIsPartlyAndNotLostHoweverLongItLasts() {
        Sim sim = fleet(1, 5);
        Incarnation a = sim.lives.get(1);
        Incarnation b = sim.lives.get(3);
        sim.cut.addAll(List.of(a.id() + ">" + b.id(), b.id() + ">" + a.id()));
        sim.run(4_000_000);
        for (int i = 0; i < 30; i++) {
            sim.run(1_000_000);
            for (Incarnation by : sim.lives) {
                assertThat(sim.seen(by))
                        .as(by.name())
                        .containsEntry(a.id(), MemberStatus.PARTLY)
                        .containsEntry(b.id(), MemberStatus.PARTLY)
                        .containsEntry(sim.lives.get(0).id(), MemberStatus.ALIVE);
            }
        }
    }

    @Test
    void whomNobodyReachesIsSuspectThenLost() {
        Sim sim = fleet(2, 4);
        Incarnation gone = sim.lives.get(2);
        sim.dead.add(gone.id());
        sim.run(3_500_000);
        assertThat(sim.seen(sim.lives.get(0))).containsEntry(gone.id(), MemberStatus.SUSPECT);
        sim.run(4_000_000);
        assertThat(sim.seen(sim.lives.get(0))).containsEntry(gone.id(), MemberStatus.LOST);
        sim.start("m2");
        sim.run(4_000_000);
        assertThat(sim.seen(sim.lives.get(0)))
                .containsEntry(gone.id(), MemberStatus.LOST)
                .containsEntry("m2-4", MemberStatus.ALIVE);
    }

    @Test
    void ofTwoThatStartWithOneNameOneIsTold() {
        Sim sim = new Sim(3);
        sim.start("same");
        sim.start("same");
        sim.run(3_000_000);
        List<String> taken =
                sim.lives.stream().map(l -> sim.members.get(l.id()).takenBy()).toList();
        assertThat(taken).containsExactly(null, "same-0");
        assertThat(sim.members.get("same-0").settled()).isTrue();
        assertThat(sim.members.get("same-1").settled()).isFalse();
    }

    @Test
    void whoHoldsItsNameKeepsItAgainstALaterOneOfALowerId() {
        Sim sim = new Sim(4);
        sim.start("b");
        sim.run(3_000_000);
        Incarnation later = new Incarnation("a-0", "b", "z", "b", "b");
        sim.lives.add(later);
        sim.members.put(later.id(), new Membership(later, sim.now, new SplittableRandom(1)));
        sim.run(3_000_000);
        assertThat(sim.members.get("a-0").takenBy()).isEqualTo("b-0");
        assertThat(sim.members.get("b-0").takenBy()).isNull();
    }

    @Test
    void whoLeftStaysLeftAndValuesAreBounded() {
        Sim sim = fleet(5, 2);
        Membership m = sim.members.get("m0-0");
        m.left("m1-1", sim.now);
        m.removed("m1-1", sim.now);
        m.added(sim.lives.get(1), sim.now);
        assertThat(sim.seen(sim.lives.get(0))).containsEntry("m1-1", MemberStatus.LEFT);
        assertThatThrownBy(() -> m.tell("k", "x".repeat(MemberValues.LONGEST + 1), 0))
                .hasMessageContaining("longer than");
        for (int i = 0; i < MemberValues.MOST_KEYS; i++) {
            m.tell("k" + i, "v", 0);
        }
        assertThatThrownBy(() -> m.tell("one more", "v", 0)).hasMessageContaining("at most");
    }

    /** The library gives up whom it cannot ask itself where one other does not answer in time; others know better. */
    @Test
    void whomTheLibraryGaveUpStaysByTheWordOfOneWhoReachesIt() {
        MemberTable roster = new MemberTable(new Incarnation("me", "me", "z", "m", "a"), 0);
        roster.added(new Incarnation("x", "x", "z", "m", "a"), 1);
        roster.added(new Incarnation("y", "y", "z", "m", "a"), 1);
        roster.says("me", Set.of("y"), Set.of("x"));
        roster.says("y", Set.of("me", "x"), Set.of());
        roster.removed("x", 2);
        assertThat(standing(roster, "x")).isEqualTo(MemberStatus.PARTLY);
        assertThat(roster.others()).containsExactlyInAnyOrder("x", "y");
        roster.says("y", Set.of("me"), Set.of("x"));
        assertThat(standing(roster, "x")).isEqualTo(MemberStatus.LOST);
        assertThat(roster.others()).containsExactly("y");
        roster.says("y", Set.of("me", "x"), Set.of());
        roster.removed("y", 3);
        // a word of one who is gone itself is none
        assertThat(standing(roster, "x")).isEqualTo(MemberStatus.LOST);
        roster.added(new Incarnation("x", "x", "z", "m", "a"), 4);
        assertThat(standing(roster, "x")).isEqualTo(MemberStatus.SUSPECT);
    }

    private static MemberStatus standing(MemberTable roster, String id) {
        return roster.lines(9).stream()
                .filter(l -> l.life().id().equals(id))
                .findFirst()
                .orElseThrow()
                .standing();
    }

    @Test
    void ofTheGoneOnlyTheLastAreKept() {
        MemberTable roster = new MemberTable(new Incarnation("me", "me", "z", "m", "a"), 0);
        for (int i = 0; i < 10_000; i++) {
            roster.added(new Incarnation("x" + i, "n" + i, "z", "m", "a"), i);
            roster.removed("x" + i, i);
        }
        assertThat(roster.lines(10_000)).hasSize(1 + MemberTable.GONE_KEPT);
    }

    /** Two that started behind a cut: the library of one had not met the other 6 s after the heal, though all others had. */
    @Test
    void whoIsToldOfByOthersIsAskedAndCountsOnceItAnswers() {
        Incarnation self = new Incarnation("a-0", "a", "z", "m", "a");
        Incarnation known = new Incarnation("b-1", "b", "z", "m", "b");
        Incarnation late = new Incarnation("c-2", "c", "z", "m", "c");
        Membership m = new Membership(self, 0, new SplittableRandom(1));
        m.added(known, 0);
        m.toldOf(late.id(), late, 1);
        m.toldOf("x-9", late, 1);
        m.toldOf(self.id(), null, 1);
        assertThat(m.view(1).lines())
                .as("nobody has said that they reach it")
                .noneMatch(l -> l.life().name().equals("c"));
        m.heard(known.id(), new News(1, Map.of(), Set.of(late.id()), Set.of()), 2);
        assertThat(standing(m, "c", 3)).isEqualTo(MemberStatus.PARTLY);
        List<Incarnation> asked = new ArrayList<>();
        for (long now = 100_000; now <= 2_000_000; now += TURN) {
            asked.addAll(m.turn(now));
        }
        assertThat(asked).contains(late);
        m.answered(
                late,
                new Answer(1, late.id(), "c", new News(1, Map.of("k", "v"), Set.of(), Set.of()), true),
                2_000_001);
        assertThat(standing(m, "c", 2_000_002)).isEqualTo(MemberStatus.ALIVE);
        m.left(late.id(), 3_000_000);
        m.toldOf(late.id(), late, 3_000_001);
        assertThat(standing(m, "c", 3_000_002)).as("who left stays left").isEqualTo(MemberStatus.LEFT);
    }

    private static MemberStatus standing(Membership m, String name, long now) {
        return m.view(now).lines().stream()
                .filter(line -> line.life().name().equals(name))
                .findFirst()
                .orElseThrow()
                .standing();
    }
}
