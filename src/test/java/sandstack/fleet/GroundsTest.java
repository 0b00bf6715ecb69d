package sandstack.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** On what ground a member stands, on a clock that the test moves. */
class GroundsTest {
    private static final long LONG_AGO = 0;
    private long now = 60_000_000;

    private static Roster.Line line(String name, Standing standing, String... against) {
        return new Roster.Line(
                new Life("id-" + name, name, "z", "m", "a:1"), standing, LONG_AGO, 0, 0, List.of(against));
    }

    private static List<String> names(String text) {
        return text == null || text.isBlank() ? List.of() : List.of(text.trim().split(" "));
    }

    private static Set<String> ids(List<String> names) {
        Set<String> ids = new HashSet<>();
        names.forEach(name -> ids.add("id-" + name));
        return ids;
    }

    private Finding look(Grounds grounds, List<Roster.Line> lines, Set<String> reached) {
        return grounds.look(lines, reached, Map.of(), Set.of(), now);
    }

    /** Seen twice, so that it has lasted. */
    private Finding steady(Grounds grounds, List<Roster.Line> lines, Set<String> reached) {
        look(grounds, lines, reached);
        now += Grounds.STEADY;
        return look(grounds, lines, reached);
    }

    @ParameterizedTest(name = "{0} stated, {1} reached, {2} partly: {3}")
    @CsvSource(
            delimiter = '|',
            value = {
                "a           |           |     | WHOLE",
                "a b         | b         |     | WHOLE",
                "a b         |           |     | ALONE",
                "a b c       | b         |     | MOST",
                "a b c       |           |     | ALONE",
                "a b c d     | b         |     | FEW",
                "a b c d     | b c       |     | MOST",
                "a b c d e   | b c d e   |     | WHOLE",
                "a b c d e   | b c       |     | MOST",
                "a b c d e   | b         |     | FEW",
                // who is partly reached is not taken from what there is, and not counted as reached either
                "a b c d e   | b         | c d | FEW",
                "a b c       | b         | c   | MOST",
                // somebody of whom staff said nothing counts for nothing
                "a b c d     | b x y     |     | FEW",
                "            | b         |     | UNSURE",
                "b c         | b c       |     | UNSURE",
            })
    void theGroundFollowsFromWhatStaffState(String stated, String reached, String partly, Ground ground) {
        Grounds grounds = new Grounds(names(stated), "a", LONG_AGO);
        List<Roster.Line> lines = new ArrayList<>(List.of(line("a", Standing.ALIVE)));
        names(reached).forEach(name -> lines.add(line(name, Standing.ALIVE)));
        names(partly).forEach(name -> lines.add(line(name, Standing.PARTLY, "a")));
        assertThat(steady(grounds, lines, ids(names(reached))).ground()).isEqualTo(ground);
    }

    @Test
    void aHalfDoesNotShrinkIntoAWholeUntilStaffSaySo() {
        Grounds grounds = new Grounds(List.of("a", "b", "c", "d"), "a", LONG_AGO);
        List<Roster.Line> lines = List.of(
                line("a", Standing.ALIVE),
                line("b", Standing.ALIVE),
                line("c", Standing.LOST),
                line("d", Standing.LOST));
        for (int i = 0; i < 1_000; i++) {
            now += 60_000_000;
            assertThat(look(grounds, lines, ids(List.of("b"))).ground()).isIn(Ground.FEW, Ground.UNSURE);
        }
        for (int i = 0; i < 2; i++) {
            now += Grounds.STEADY;
            grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("d"), now);
        }
        Finding found = grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("d"), now);
        assertThat(found.ground()).isEqualTo(Ground.MOST);
        assertThat(found.without()).containsExactly("c");
    }

    @Test
    void whoWasTakenOutCountsAgainOnceItLives() {
        Grounds grounds = new Grounds(List.of("a", "b", "c"), "a", LONG_AGO);
        List<Roster.Line> lines =
                List.of(line("a", Standing.ALIVE), line("b", Standing.ALIVE), line("c", Standing.PARTLY, "a"));
        grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("c"), now);
        now += Grounds.STEADY;
        Finding found = grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("c"), now);
        assertThat(found.without()).containsExactly("c");
        assertThat(found.ground()).isEqualTo(Ground.MOST);
    }

    @Test
    void worseNewsShowAtOnceAsADoubtAndBetterOnesHaveToLast() {
        Grounds grounds = new Grounds(List.of("a", "b", "c"), "a", LONG_AGO);
        List<Roster.Line> all =
                List.of(line("a", Standing.ALIVE), line("b", Standing.ALIVE), line("c", Standing.ALIVE));
        List<Roster.Line> two =
                List.of(line("a", Standing.ALIVE), line("b", Standing.ALIVE), line("c", Standing.SUSPECT, "a", "b"));
        assertThat(steady(grounds, all, ids(List.of("b", "c"))).ground()).isEqualTo(Ground.WHOLE);
        assertThat(look(grounds, two, ids(List.of("b"))).ground()).isEqualTo(Ground.UNSURE);
        now += Grounds.STEADY - 1;
        assertThat(look(grounds, two, ids(List.of("b"))).ground()).isEqualTo(Ground.UNSURE);
        now += 1;
        Finding most = look(grounds, two, ids(List.of("b")));
        assertThat(most.ground()).isEqualTo(Ground.MOST);
        assertThat(most.since()).isEqualTo(now);
    }

    /** Three of five, and each of them lacks another: no two of them could settle anything together. */
    @Test
    void aMajorityWhoseMembersDoNotReachEachOtherIsADoubt() {
        Grounds grounds = new Grounds(List.of("a", "b", "c", "d", "e"), "a", LONG_AGO);
        List<Roster.Line> lines = List.of(
                line("a", Standing.ALIVE),
                line("b", Standing.PARTLY, "c"),
                line("c", Standing.PARTLY, "b"),
                line("d", Standing.LOST),
                line("e", Standing.LOST));
        Finding found = steady(grounds, lines, ids(List.of("b", "c")));
        assertThat(found.ground()).isEqualTo(Ground.UNSURE);
        assertThat(found.why()).startsWith("views differ: ");
    }

    @Test
    void whoStoodStillAsksAllAnewBeforeItIsSure() {
        Grounds grounds = new Grounds(List.of("a", "b", "c"), "a", LONG_AGO);
        List<Roster.Line> lines =
                List.of(line("a", Standing.ALIVE), line("b", Standing.ALIVE), line("c", Standing.ALIVE));
        Set<String> reached = ids(List.of("b", "c"));
        Finding whole = steady(grounds, lines, reached);
        assertThat(whole.ground()).isEqualTo(Ground.WHOLE);
        now += 20_000_000;
        // read before its own thread has run again
        assertThat(whole.asOf(now).ground()).isEqualTo(Ground.UNSURE);
        assertThat(whole.asOf(now).allows(Act.OfStaff.TAKE_OUT)).isFalse();
        grounds.stoodStill(20_000_000, now);
        assertThat(look(grounds, lines, reached).why()).contains("stood still for 20 s");
        grounds.answered("id-b");
        now += Grounds.ASKED_ANEW;
        // c has not answered since: it is believed no longer
        look(grounds, lines, reached);
        now += Grounds.STEADY;
        Finding after = look(grounds, lines, reached);
        assertThat(after.ground()).isEqualTo(Ground.MOST);
        assertThat(after.without()).containsExactly("c");
    }

    @Test
    void relaysThatWereToldOfOtherRelaysAreADoubt() {
        Grounds grounds = new Grounds(List.of("a", "b", "c"), "a", LONG_AGO);
        Grounds other = new Grounds(List.of("a", "b", "c", "d"), "b", LONG_AGO);
        List<Roster.Line> lines =
                List.of(line("a", Standing.ALIVE), line("b", Standing.ALIVE), line("c", Standing.ALIVE));
        Finding found = grounds.look(
                lines,
                ids(List.of("b", "c")),
                Map.of("id-b", other.statedAs(), "id-c", grounds.statedAs()),
                Set.of(),
                now);
        assertThat(found.ground()).isEqualTo(Ground.UNSURE);
        assertThat(found.why()).isEqualTo("b was told of other relays than this one");
    }

    /** However relays are parted, and whatever each believes of the others, two parts never both are most. */
    @Property
    void twoPartsAreNeverBothMost(@ForAll @IntRange(min = 1, max = 9) int relays, @ForAll int parts) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < relays; i++) {
            all.add("r" + i);
        }
        int found = 0;
        for (int part = 0; part < 2; part++) {
            List<String> mine = new ArrayList<>();
            for (int i = 0; i < relays; i++) {
                if ((parts >> i & 1) == part) {
                    mine.add("r" + i);
                }
            }
            if (mine.isEmpty()) {
                continue;
            }
            Grounds grounds = new Grounds(all, mine.get(0), LONG_AGO);
            List<Roster.Line> lines = all.stream()
                    .map(name -> line(name, mine.contains(name) ? Standing.ALIVE : Standing.LOST))
                    .toList();
            Ground ground = steady(grounds, lines, ids(mine)).ground();
            found += ground == Ground.MOST || ground == Ground.WHOLE ? 1 : 0;
        }
        assertThat(found).isLessThanOrEqualTo(1);
    }
}
