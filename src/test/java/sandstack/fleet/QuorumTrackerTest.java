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

/** Quorum states on a clock that the test advances. */
class QuorumTrackerTest {
    private static final long LONG_AGO_MICROS = 0;
    private long nowMicros = 60_000_000;

    private static MemberTable.Row row(String name, MemberStatus status, String... unreachableFrom) {
        return new MemberTable.Row(
                new Incarnation("id-" + name, name, "z", "m", "a:1"),
                status,
                LONG_AGO_MICROS,
                0,
                0,
                List.of(unreachableFrom));
    }

    private static List<String> names(String text) {
        return text == null || text.isBlank() ? List.of() : List.of(text.trim().split(" "));
    }

    private static Set<String> ids(List<String> names) {
        Set<String> ids = new HashSet<>();
        names.forEach(name -> ids.add("id-" + name));
        return ids;
    }

    private QuorumAssessment assess(QuorumTracker tracker, List<MemberTable.Row> rows, Set<String> reachable) {
        return tracker.assess(rows, reachable, Map.of(), Set.of(), nowMicros);
    }

    /** Assesses twice, so that the state has lasted for the stability window. */
    private QuorumAssessment assessUntilStable(
            QuorumTracker tracker, List<MemberTable.Row> rows, Set<String> reachable) {
        assess(tracker, rows, reachable);
        nowMicros += QuorumTracker.STABILITY_WINDOW_MICROS;
        return assess(tracker, rows, reachable);
    }

    @ParameterizedTest(name = "{0} configured, {1} reachable, {2} partially: {3}")
    @CsvSource(
            delimiter = '|',
            value = {
                "a           |           |     | COMPLETE",
                "a b         | b         |     | COMPLETE",
                "a b         |           |     | ISOLATED",
                "a b c       | b         |     | MAJORITY",
                "a b c       |           |     | ISOLATED",
                "a b c d     | b         |     | MINORITY",
                "a b c d     | b c       |     | MAJORITY",
                "a b c d e   | b c d e   |     | COMPLETE",
                "a b c d e   | b c       |     | MAJORITY",
                "a b c d e   | b         |     | MINORITY",
                // a partially reachable relay is part of the size of the fleet but does not count as reachable
                "a b c d e   | b         | c d | MINORITY",
                "a b c       | b         | c   | MAJORITY",
                // relays that are not configured do not count
                "a b c d     | b x y     |     | MINORITY",
                "            | b         |     | UNKNOWN",
                "b c         | b c       |     | UNKNOWN",
            })
    void stateFollowsFromConfiguredRelays(
            String configured, String reachable, String partiallyReachable, QuorumState expected) {
        QuorumTracker tracker = new QuorumTracker(names(configured), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> rows = new ArrayList<>(List.of(row("a", MemberStatus.ALIVE)));
        names(reachable).forEach(name -> rows.add(row(name, MemberStatus.ALIVE)));
        names(partiallyReachable).forEach(name -> rows.add(row(name, MemberStatus.PARTIALLY_REACHABLE, "a")));
        assertThat(assessUntilStable(tracker, rows, ids(names(reachable))).state())
                .isEqualTo(expected);
    }

    @Test
    void quorumSizeShrinksOnlyByDecommissioning() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c", "d"), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> rows = List.of(
                row("a", MemberStatus.ALIVE),
                row("b", MemberStatus.ALIVE),
                row("c", MemberStatus.LOST),
                row("d", MemberStatus.LOST));
        for (int i = 0; i < 1_000; i++) {
            nowMicros += 60_000_000;
            assertThat(assess(tracker, rows, ids(List.of("b"))).state())
                    .isIn(QuorumState.MINORITY, QuorumState.UNKNOWN);
        }
        for (int i = 0; i < 2; i++) {
            nowMicros += QuorumTracker.STABILITY_WINDOW_MICROS;
            tracker.assess(rows, ids(List.of("b")), Map.of(), Set.of("d"), nowMicros);
        }
        QuorumAssessment assessment = tracker.assess(rows, ids(List.of("b")), Map.of(), Set.of("d"), nowMicros);
        assertThat(assessment.state()).isEqualTo(QuorumState.MAJORITY);
        assertThat(assessment.unreachable()).containsExactly("c");
    }

    @Test
    void decommissionedRelayCountsAgainOnceItIsAMember() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> rows = List.of(
                row("a", MemberStatus.ALIVE),
                row("b", MemberStatus.ALIVE),
                row("c", MemberStatus.PARTIALLY_REACHABLE, "a"));
        tracker.assess(rows, ids(List.of("b")), Map.of(), Set.of("c"), nowMicros);
        nowMicros += QuorumTracker.STABILITY_WINDOW_MICROS;
        QuorumAssessment assessment = tracker.assess(rows, ids(List.of("b")), Map.of(), Set.of("c"), nowMicros);
        assertThat(assessment.unreachable()).containsExactly("c");
        assertThat(assessment.state()).isEqualTo(QuorumState.MAJORITY);
    }

    @Test
    void changeIsUnknownUntilItIsStable() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> all =
                List.of(row("a", MemberStatus.ALIVE), row("b", MemberStatus.ALIVE), row("c", MemberStatus.ALIVE));
        List<MemberTable.Row> two = List.of(
                row("a", MemberStatus.ALIVE), row("b", MemberStatus.ALIVE), row("c", MemberStatus.SUSPECT, "a", "b"));
        assertThat(assessUntilStable(tracker, all, ids(List.of("b", "c"))).state())
                .isEqualTo(QuorumState.COMPLETE);
        assertThat(assess(tracker, two, ids(List.of("b"))).state()).isEqualTo(QuorumState.UNKNOWN);
        nowMicros += QuorumTracker.STABILITY_WINDOW_MICROS - 1;
        assertThat(assess(tracker, two, ids(List.of("b"))).state()).isEqualTo(QuorumState.UNKNOWN);
        nowMicros += 1;
        QuorumAssessment majority = assess(tracker, two, ids(List.of("b")));
        assertThat(majority.state()).isEqualTo(QuorumState.MAJORITY);
        assertThat(majority.sinceMicros()).isEqualTo(nowMicros);
    }

    /** Three of five relays are reachable, but two of the three do not reach each other. */
    @Test
    void majorityWithoutMutualReachabilityIsUnknown() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c", "d", "e"), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> rows = List.of(
                row("a", MemberStatus.ALIVE),
                row("b", MemberStatus.PARTIALLY_REACHABLE, "c"),
                row("c", MemberStatus.PARTIALLY_REACHABLE, "b"),
                row("d", MemberStatus.LOST),
                row("e", MemberStatus.LOST));
        QuorumAssessment assessment = assessUntilStable(tracker, rows, ids(List.of("b", "c")));
        assertThat(assessment.state()).isEqualTo(QuorumState.UNKNOWN);
        assertThat(assessment.reason()).startsWith("views differ: ");
    }

    @Test
    void membersCountAgainAfterAStallOnceTheyAnswer() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO_MICROS);
        List<MemberTable.Row> rows =
                List.of(row("a", MemberStatus.ALIVE), row("b", MemberStatus.ALIVE), row("c", MemberStatus.ALIVE));
        Set<String> reachable = ids(List.of("b", "c"));
        QuorumAssessment complete = assessUntilStable(tracker, rows, reachable);
        assertThat(complete.state()).isEqualTo(QuorumState.COMPLETE);
        nowMicros += 20_000_000;
        // the assessment is read before the fleet's thread has run again
        assertThat(complete.asOf(nowMicros).state()).isEqualTo(QuorumState.UNKNOWN);
        assertThat(complete.asOf(nowMicros).allows(GuardedOperation.OperatorOperation.DECOMMISSION_RELAY))
                .isFalse();
        tracker.processStalled(20_000_000, nowMicros);
        assertThat(assess(tracker, rows, reachable).reason()).contains("stood still for 20 s");
        tracker.probeAnswered("id-b");
        nowMicros += QuorumTracker.RECHECK_MICROS;
        // c has not answered since the stall, so it does not count as reachable
        assess(tracker, rows, reachable);
        nowMicros += QuorumTracker.STABILITY_WINDOW_MICROS;
        QuorumAssessment after = assess(tracker, rows, reachable);
        assertThat(after.state()).isEqualTo(QuorumState.MAJORITY);
        assertThat(after.unreachable()).containsExactly("c");
    }

    @Test
    void differingConfigurationIsUnknown() {
        QuorumTracker tracker = new QuorumTracker(List.of("a", "b", "c"), "a", LONG_AGO_MICROS);
        QuorumTracker other = new QuorumTracker(List.of("a", "b", "c", "d"), "b", LONG_AGO_MICROS);
        List<MemberTable.Row> rows =
                List.of(row("a", MemberStatus.ALIVE), row("b", MemberStatus.ALIVE), row("c", MemberStatus.ALIVE));
        QuorumAssessment assessment = tracker.assess(
                rows,
                ids(List.of("b", "c")),
                Map.of("id-b", other.configurationDigest(), "id-c", tracker.configurationDigest()),
                Set.of(),
                nowMicros);
        assertThat(assessment.state()).isEqualTo(QuorumState.UNKNOWN);
        assertThat(assessment.reason()).isEqualTo("b was told of other relays than this one");
    }

    /** For any partition into two parts, at most one part has a majority. */
    @Property
    void twoPartitionsNeverBothHaveAMajority(@ForAll @IntRange(min = 1, max = 9) int relays, @ForAll int parts) {
        List<String> configured = new ArrayList<>();
        for (int i = 0; i < relays; i++) {
            configured.add("r" + i);
        }
        int majorities = 0;
        for (int part = 0; part < 2; part++) {
            List<String> reachableNames = new ArrayList<>();
            for (int i = 0; i < relays; i++) {
                if ((parts >> i & 1) == part) {
                    reachableNames.add("r" + i);
                }
            }
            if (reachableNames.isEmpty()) {
                continue;
            }
            QuorumTracker tracker = new QuorumTracker(configured, reachableNames.get(0), LONG_AGO_MICROS);
            List<MemberTable.Row> rows = configured.stream()
                    .map(name -> row(name, reachableNames.contains(name) ? MemberStatus.ALIVE : MemberStatus.LOST))
                    .toList();
            QuorumState state =
                    assessUntilStable(tracker, rows, ids(reachableNames)).state();
            majorities += state == QuorumState.MAJORITY || state == QuorumState.COMPLETE ? 1 : 0;
        }
        assertThat(majorities).isLessThanOrEqualTo(1);
    }
}
