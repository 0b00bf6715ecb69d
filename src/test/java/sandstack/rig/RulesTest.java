package sandstack.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;
import sandstack.rig.Facts.Done;
import sandstack.rig.Facts.LetGo;
import sandstack.rig.Facts.Line;
import sandstack.rig.Facts.Seen;
import sandstack.rig.Facts.Stands;
import sandstack.rig.Schedule.Kind;
import sandstack.rig.Schedule.Step;

/** Each rule finds its break, and nothing where nothing is broken. */
class RulesTest {
    private static final long SECOND = 1_000_000;
    private final Facts facts = new Facts();

    /** What member i says at this second: of m0, m1, m2. */
    private void seen(double second, int i, MemberStatus... standings) {
        Map<String, Line> seen = new TreeMap<>();
        for (int j = 0; j < standings.length; j++) {
            seen.put("life" + j, new Line("m" + j, standings[j]));
        }
        facts.add(new Seen((long) (second * SECOND), (long) (second * SECOND), i, "life" + i, seen));
    }

    private void allAlive(double second) {
        for (int i = 0; i < 3; i++) {
            seen(second, i, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        }
    }

    private void done(double second, Kind kind, int a, int b) {
        facts.add(new Done((long) (second * SECOND), new Step(second, kind, a, b)));
    }

    private void letGo(double second) {
        facts.add(new LetGo((long) (second * SECOND)));
    }

    private List<String> broken() {
        return Rules.check(3, facts).stream().map(Rules.Broken::rule).distinct().toList();
    }

    @Test
    void aCleanRunBreaksNothing() {
        allAlive(0);
        done(1, Kind.CUT, 0, 1);
        seen(4, 2, MemberStatus.PARTIALLY_REACHABLE, MemberStatus.PARTIALLY_REACHABLE, MemberStatus.ALIVE);
        done(5, Kind.CUT, 2, 1);
        seen(12, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        letGo(13);
        allAlive(16);
        assertThat(broken()).isEmpty();
    }

    private void stands(double second, int i, QuorumState ground, int with) {
        facts.add(new Stands((long) (second * SECOND), i, ground, with));
    }

    /** As a member would that counts what it sees: its half is all there is. */
    @Test
    void aPartThatShrinksIntoAWholeIsFound() {
        allAlive(0);
        stands(0, 0, QuorumState.COMPLETE, 3);
        stands(1, 0, QuorumState.MAJORITY, 2);
        stands(2, 0, QuorumState.MINORITY, 1);
        letGo(3);
        allAlive(4);
        assertThat(broken()).isEmpty();
        stands(5, 0, QuorumState.COMPLETE, 2);
        stands(6, 0, QuorumState.MAJORITY, 1);
        assertThat(Rules.check(3, facts))
                .extracting(Rules.Broken::rule)
                .containsExactly(
                        "most is more than half of what staff state", "most is more than half of what staff state");
    }

    @Test
    void whoIsSureRightAfterAStandstillIsFound() {
        allAlive(0);
        done(1, Kind.PAUSE, 1, -1);
        done(9, Kind.RESUME, 1, -1);
        stands(9.2, 1, QuorumState.UNKNOWN, 3);
        stands(9.3, 0, QuorumState.MAJORITY, 2);
        stands(12, 1, QuorumState.COMPLETE, 3);
        letGo(13);
        allAlive(14);
        assertThat(broken()).isEmpty();
        facts.all().add(5, new Stands(9_100_000, 1, QuorumState.COMPLETE, 3));
        assertThat(broken()).containsExactly("who stood still is unsure");
    }

    @Test
    void whoeverAnyoneReachesIsNotLost() {
        allAlive(0);
        done(1, Kind.CUT, 0, 1);
        // m2 reaches both all the time
        seen(10, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        letGo(11);
        allAlive(13);
        assertThat(broken()).containsExactly("nobody within reach is lost");
    }

    @Test
    void whoWasOutOfReachForAMomentIsNotLostEither() {
        allAlive(0);
        done(1, Kind.PAUSE, 1, -1);
        done(1.5, Kind.RESUME, 1, -1);
        seen(4, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        letGo(5);
        allAlive(6);
        assertThat(broken()).containsExactly("nobody within reach is lost");
    }

    @Test
    void aDeadProcessIsNoMemberForLong() {
        allAlive(0);
        done(1, Kind.KILL, 1, -1);
        seen(10, 0, MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.ALIVE);
        seen(30, 2, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        letGo(31);
        allAlive(33);
        assertThat(broken()).contains("a dead process is no member");
    }

    @Test
    void whoRunsHasNotLeftAndWhoLeftStaysLeft() {
        allAlive(0);
        seen(1, 0, MemberStatus.ALIVE, MemberStatus.LEFT, MemberStatus.ALIVE);
        letGo(2);
        allAlive(3);
        assertThat(broken()).containsExactlyInAnyOrder("who runs has not left", "who left stays left");
    }

    @Test
    void viewsAreEqualAtTheEndAndEveryoneAnswers() {
        allAlive(0);
        letGo(1);
        seen(5, 0, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        seen(5, 1, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.PARTIALLY_REACHABLE);
        assertThat(broken())
                .containsExactlyInAnyOrder("views are equal after all faults have ended", "whoever runs answers");
    }

    @Test
    void aNameHasOnePresentLife() {
        allAlive(0);
        letGo(1);
        allAlive(2);
        facts.add(new Seen(
                3 * SECOND,
                3 * SECOND,
                0,
                "life0",
                Map.of(
                        "life0",
                        new Line("m0", MemberStatus.ALIVE),
                        "life1",
                        new Line("m1", MemberStatus.ALIVE),
                        "other",
                        new Line("m1", MemberStatus.ALIVE),
                        "life2",
                        new Line("m2", MemberStatus.ALIVE))));
        assertThat(broken()).containsExactly("a name has one present life");
    }

    /** With real members: a cut that the rules are not told of looks like members that give others up. */
    @Test
    @Timeout(100)
    void withRealMembersAPlantedFaultIsFound() throws Exception {
        List<String> program = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");
        Schedule schedule = new Schedule(
                3,
                List.of(
                        new Step(0.5, Kind.CUT, 0, 1),
                        new Step(0.5, Kind.CUT, 0, 2),
                        new Step(13, Kind.HEAL, 0, 1),
                        new Step(13, Kind.HEAL, 0, 2)));
        AtomicInteger hidden = new AtomicInteger();
        FaultRun.Outcome blind = FaultRun.play(program, schedule, step -> {
            hidden.incrementAndGet();
            return false;
        });
        assertThat(hidden).hasValue(4);
        assertThat(blind.broken()).as(blind.logs()).isNotEmpty().allMatch(b -> b.rule()
                .equals("nobody within reach is lost"));
        assertThat(blind.equalAfter()).as(blind.logs()).isNotNegative();
    }
}
