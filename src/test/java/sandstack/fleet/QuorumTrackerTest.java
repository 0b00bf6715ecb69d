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
class QuorumTrackerTest {
    private static final long LONG_AGO = 0;
    private long now = 60_000_000;

    private static MemberTable.Row line(String name, MemberStatus standing, String... against) {
        return new MemberTable.Row(
                new Incarnation("id-" + name, name, "z", "m", "a:1"), standing, LONG_AGO, 0, 0, List.of(against));
    }

    private static List<String> names(String text) {
        return text == null || text.isBlank() ? List.of() : List.of(text.trim().split(" "));
    }

    private static Set<String> ids(List<String> names) {
        Set<String> ids = new HashSet<>();
        names.forEach(name -> ids.add("id-" + name));
        return ids;
    }

    private QuorumAssessment look(QuorumTracker grounds, List<MemberTable.Row> lines, Set<String> reached) {
        return grounds.look(lines, reached, Map.of(), Set.of(), now);
    }

    /** Seen twice, so that it has lasted. */
    private QuorumAssessment steady(QuorumTracker grounds, List<MemberTable.Row> lines, Set<String> reached) {
        look(grounds, lines, reached);
        now += QuorumTracker.STEADY;
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
    void theGroundFollowsFromWhatStaffState(String stated, String reached, String partly, QuorumState ground) {
        QuorumTracker grounds = new QuorumTracker(names(stated), "a", LONG_AGO);
        List<MemberTable.Row> lines = new ArrayList<>(List.of(line("a", MemberStatus.ALIVE)));
        names(reached).forEach(name -> lines.add(line(name, MemberStatus.ALIVE)));
        names(partly).forEach(name -> lines.add(line(name, MemberStatus.PARTLY, "a")));
        assertThat(steady(grounds, lines, ids(names(reached))).ground()).isEqualTo(ground);
    }

    @Test
    void aHalfDoesNotShrinkIntoAWholeUntilStaffSaySo() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c", "d"), "a", LONG_AGO);
        List<MemberTable.Row> lines = List.of(
                line("a", MemberStatus.ALIVE),
                line("b", MemberStatus.ALIVE),
                line("c", MemberStatus.LOST),
                line("d", MemberStatus.LOST));
        for (int i = 0; i < 1_000; i++) {
            now += 60_000_000;
            assertThat(look(grounds, lines, ids(List.of("b"))).ground()).isIn(QuorumState.FEW, QuorumState.UNSURE);
        }
        for (int i = 0; i < 2; i++) {
            now += QuorumTracker.STEADY;
            grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("d"), now);
        }
        QuorumAssessment found = grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("d"), now);
        assertThat(found.ground()).isEqualTo(QuorumState.MOST);
        assertThat(found.without()).containsExactly("c");
    }

    @Test
    void whoWasTakenOutCountsAgainOnceItLives() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO);
        List<MemberTable.Row> lines = List.of(
                line("a", MemberStatus.ALIVE), line("b", MemberStatus.ALIVE), line("c", MemberStatus.PARTLY, "a"));
        grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("c"), now);
        now += QuorumTracker.STEADY;
        QuorumAssessment found = grounds.look(lines, ids(List.of("b")), Map.of(), Set.of("c"), now);
        assertThat(found.without()).containsExactly("c");
        assertThat(found.ground()).isEqualTo(QuorumState.MOST);
    }

    @Test
    void worseNewsShowAtOnceAsADoubtAndBetterOnesHaveToLast() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO);
        List<MemberTable.Row> all =
                List.of(line("a", MemberStatus.ALIVE), line("b", MemberStatus.ALIVE), line("c", MemberStatus.ALIVE));
        List<MemberTable.Row> two = List.of(
                line("a", MemberStatus.ALIVE),
                line("b", MemberStatus.ALIVE),
                line("c", MemberStatus.SUSPECT, "a", "b"));
        assertThat(steady(grounds, all, ids(List.of("b", "c"))).ground()).isEqualTo(QuorumState.WHOLE);
        assertThat(look(grounds, two, ids(List.of("b"))).ground()).isEqualTo(QuorumState.UNSURE);
        now += QuorumTracker.STEADY - 1;
        assertThat(look(grounds, two, ids(List.of("b"))).ground()).isEqualTo(QuorumState.UNSURE);
        now += 1;
        QuorumAssessment most = look(grounds, two, ids(List.of("b")));
        assertThat(most.ground()).isEqualTo(QuorumState.MOST);
        assertThat(most.since()).isEqualTo(now);
    }

    /** Three of five, and each of them lacks another: no two of them could settle anything together. */
    @Test
    void aMajorityWhoseMembersDoNotReachEachOtherIsADoubt() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c", "d", "e"), "a", LONG_AGO);
        List<MemberTable.Row> lines = List.of(
                line("a", MemberStatus.ALIVE),
                line("b", MemberStatus.PARTLY, "c"),
                line("c", MemberStatus.PARTLY, "b"),
                line("d", MemberStatus.LOST),
                line("e", MemberStatus.LOST));
        QuorumAssessment found = steady(grounds, lines, ids(List.of("b", "c")));
        assertThat(found.ground()).isEqualTo(QuorumState.UNSURE);
        assertThat(found.why()).startsWith("views differ: ");
    }

    @Test
    void whoStoodStillAsksAllAnewBeforeItIsSure() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO);
        List<MemberTable.Row> lines =
                List.of(line("a", MemberStatus.ALIVE), line("b", MemberStatus.ALIVE), line("c", MemberStatus.ALIVE));
        Set<String> reached = ids(List.of("b", "c"));
        QuorumAssessment whole = steady(grounds, lines, reached);
        assertThat(whole.ground()).isEqualTo(QuorumState.WHOLE);
        now += 20_000_000;
        // read before its own thread has run again
        assertThat(whole.asOf(now).ground()).isEqualTo(QuorumState.UNSURE);
        assertThat(whole.asOf(now).allows(GuardedOperation.OfStaff.TAKE_OUT)).isFalse();
        grounds.stoodStill(20_000_000, now);
        assertThat(look(grounds, lines, reached).why()).contains("stood still for 20 s");
        grounds.answered("id-b");
        now += QuorumTracker.ASKED_ANEW;
        // c has not answered since: it is believed no longer
        look(grounds, lines, reached);
        now += QuorumTracker.STEADY;
        QuorumAssessment after = look(grounds, lines, reached);
        assertThat(after.ground()).isEqualTo(QuorumState.MOST);
        assertThat(after.without()).containsExactly("c");
    }

    @Test
    void relaysThatWereToldOfOtherRelaysAreADoubt() {
        QuorumTracker grounds = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO);
        QuorumTracker other = new QuorumTracker(List.of("a", "b", "c", "d"), "b", LONG_AGO);
        List<MemberTable.Row> lines =
                List.of(line("a", MemberStatus.ALIVE), line("b", MemberStatus.ALIVE), line("c", MemberStatus.ALIVE));
        QuorumAssessment found = grounds.look(
                lines,
                ids(List.of("b", "c")),
                Map.of("id-b", other.statedAs(), "id-c", grounds.statedAs()),
                Set.of(),
                now);
        assertThat(found.ground()).isEqualTo(QuorumState.UNSURE);
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
            QuorumTracker grounds = new QuorumTracker(all, mine.get(0), LONG_AGO);
            List<MemberTable.Row> lines = all.stream()
                    .map(name -> line(name, mine.contains(name) ? MemberStatus.ALIVE : MemberStatus.LOST))
                    .toList();
            QuorumState ground = steady(grounds, lines, ids(mine)).ground();
            found += ground == QuorumState.MOST || ground == QuorumState.WHOLE ? 1 : 0;
        }
        assertThat(found).isLessThanOrEqualTo(1);
    }
}
