package sandstack.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.faultinjection.FaultSchedule.Action;
import sandstack.faultinjection.FaultSchedule.Step;
import sandstack.faultinjection.History.AllFaultsHealed;
import sandstack.faultinjection.History.MemberEntry;
import sandstack.faultinjection.History.QuorumObserved;
import sandstack.faultinjection.History.StepApplied;
import sandstack.faultinjection.History.ViewObserved;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;

/** The checker reports the violation of each invariant, and none if all of them hold. */
class InvariantCheckerTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private final History history = new History();

    /** Records that {@code observer} reports these statuses of m0, m1 and m2, at a time in seconds. */
    private void viewObserved(double second, int observer, MemberStatus... statuses) {
        Map<String, MemberEntry> entries = new TreeMap<>();
        for (int j = 0; j < statuses.length; j++) {
            entries.put("life" + j, new MemberEntry("m" + j, statuses[j]));
        }
        history.add(new ViewObserved(
                (long) (second * MICROS_PER_SECOND),
                (long) (second * MICROS_PER_SECOND),
                observer,
                "life" + observer,
                entries));
    }

    private void allAlive(double second) {
        for (int i = 0; i < 3; i++) {
            viewObserved(second, i, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        }
    }

    private void stepApplied(double second, Action action, int member, int other) {
        history.add(new StepApplied((long) (second * MICROS_PER_SECOND), new Step(second, action, member, other)));
    }

    private void allFaultsHealed(double second) {
        history.add(new AllFaultsHealed((long) (second * MICROS_PER_SECOND)));
    }

    private List<Invariant> violatedInvariants() {
        return InvariantChecker.check(3, history).stream()
                .map(InvariantChecker.Violation::invariant)
                .distinct()
                .toList();
    }

    @Test
    void aRunThatKeepsAllInvariantsHasNoViolation() {
        allAlive(0);
        stepApplied(1, Action.PARTITION, 0, 1);
        viewObserved(4, 2, MemberStatus.PARTIALLY_REACHABLE, MemberStatus.PARTIALLY_REACHABLE, MemberStatus.ALIVE);
        stepApplied(5, Action.PARTITION, 2, 1);
        viewObserved(12, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        allFaultsHealed(13);
        allAlive(16);
        assertThat(violatedInvariants()).isEmpty();
    }

    private void quorumObserved(double second, int member, QuorumState state, int reachable) {
        history.add(new QuorumObserved((long) (second * MICROS_PER_SECOND), member, state, reachable));
    }

    /** A member that counts only the relays in its view would report its part of the fleet as the complete fleet. */
    @Test
    void aMinorityThatReportsAMajorityIsAViolation() {
        allAlive(0);
        quorumObserved(0, 0, QuorumState.COMPLETE, 3);
        quorumObserved(1, 0, QuorumState.MAJORITY, 2);
        quorumObserved(2, 0, QuorumState.MINORITY, 1);
        allFaultsHealed(3);
        allAlive(4);
        assertThat(violatedInvariants()).isEmpty();
        quorumObserved(5, 0, QuorumState.COMPLETE, 2);
        quorumObserved(6, 0, QuorumState.MAJORITY, 1);
        assertThat(InvariantChecker.check(3, history))
                .extracting(InvariantChecker.Violation::invariant)
                .containsExactly(Invariant.MAJORITY_IS_MORE_THAN_HALF, Invariant.MAJORITY_IS_MORE_THAN_HALF);
    }

    @Test
    void aKnownQuorumStateRightAfterAPauseIsAViolation() {
        allAlive(0);
        stepApplied(1, Action.PAUSE, 1, -1);
        stepApplied(9, Action.RESUME, 1, -1);
        quorumObserved(9.2, 1, QuorumState.UNKNOWN, 3);
        quorumObserved(9.3, 0, QuorumState.MAJORITY, 2);
        quorumObserved(12, 1, QuorumState.COMPLETE, 3);
        allFaultsHealed(13);
        allAlive(14);
        assertThat(violatedInvariants()).isEmpty();
        history.events().add(5, new QuorumObserved(9_100_000, 1, QuorumState.COMPLETE, 3));
        assertThat(violatedInvariants()).containsExactly(Invariant.UNKNOWN_AFTER_PAUSE);
    }

    @Test
    void aMemberThatAnyOtherReachesIsNotLost() {
        allAlive(0);
        stepApplied(1, Action.PARTITION, 0, 1);
        // m2 reaches both throughout
        viewObserved(10, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        allFaultsHealed(11);
        allAlive(13);
        assertThat(violatedInvariants()).containsExactly(Invariant.REACHABLE_IS_NOT_LOST);
    }

    @Test
    void aMemberThatWasBrieflyUnreachableIsNotLost() {
        allAlive(0);
        stepApplied(1, Action.PAUSE, 1, -1);
        stepApplied(1.5, Action.RESUME, 1, -1);
        viewObserved(4, 0, MemberStatus.ALIVE, MemberStatus.LOST, MemberStatus.ALIVE);
        allFaultsHealed(5);
        allAlive(6);
        assertThat(violatedInvariants()).containsExactly(Invariant.REACHABLE_IS_NOT_LOST);
    }

    @Test
    void anEndedProcessIsNoMemberAfterTheDetectionTimeout() {
        allAlive(0);
        stepApplied(1, Action.KILL, 1, -1);
        viewObserved(10, 0, MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.ALIVE);
        viewObserved(30, 2, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        allFaultsHealed(31);
        allAlive(33);
        assertThat(violatedInvariants()).contains(Invariant.DEAD_IS_NO_MEMBER);
    }

    @Test
    void aRunningMemberHasNotLeftAndLeftIsFinal() {
        allAlive(0);
        viewObserved(1, 0, MemberStatus.ALIVE, MemberStatus.LEFT, MemberStatus.ALIVE);
        allFaultsHealed(2);
        allAlive(3);
        assertThat(violatedInvariants())
                .containsExactlyInAnyOrder(Invariant.RUNNING_HAS_NOT_LEFT, Invariant.LEFT_IS_FINAL);
    }

    @Test
    void viewsConvergeAfterHealingAndEveryMemberResponds() {
        allAlive(0);
        allFaultsHealed(1);
        viewObserved(5, 0, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.ALIVE);
        viewObserved(5, 1, MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.PARTIALLY_REACHABLE);
        assertThat(violatedInvariants()).containsExactlyInAnyOrder(Invariant.VIEWS_CONVERGE, Invariant.MEMBERS_RESPOND);
    }

    @Test
    void aNameHasOnePresentIncarnation() {
        allAlive(0);
        allFaultsHealed(1);
        allAlive(2);
        history.add(new ViewObserved(
                3 * MICROS_PER_SECOND,
                3 * MICROS_PER_SECOND,
                0,
                "life0",
                Map.of(
                        "life0",
                        new MemberEntry("m0", MemberStatus.ALIVE),
                        "life1",
                        new MemberEntry("m1", MemberStatus.ALIVE),
                        "other",
                        new MemberEntry("m1", MemberStatus.ALIVE),
                        "life2",
                        new MemberEntry("m2", MemberStatus.ALIVE))));
        assertThat(violatedInvariants()).containsExactly(Invariant.ONE_INCARNATION_PER_NAME);
    }

    /**
     * If the checker does not receive the steps of a partition, it must report that members wrongly declare others
     * lost.
     */
    @Test
    @Timeout(100)
    void aFaultHiddenFromTheCheckerIsAViolationWithRealProcesses() throws Exception {
        List<String> program = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");
        FaultSchedule schedule = new FaultSchedule(
                3,
                List.of(
                        new Step(0.5, Action.PARTITION, 0, 1),
                        new Step(0.5, Action.PARTITION, 0, 2),
                        new Step(13, Action.HEAL, 0, 1),
                        new Step(13, Action.HEAL, 0, 2)));
        AtomicInteger hiddenSteps = new AtomicInteger();
        FaultScheduleRunner.Outcome outcome = FaultScheduleRunner.run(program, schedule, step -> {
            hiddenSteps.incrementAndGet();
            return false;
        });
        assertThat(hiddenSteps).hasValue(4);
        assertThat(outcome.violations())
                .as(outcome.logs())
                .isNotEmpty()
                .allMatch(violation -> violation.invariant() == Invariant.REACHABLE_IS_NOT_LOST);
        assertThat(outcome.convergedAfterMicros()).as(outcome.logs()).isNotNegative();
    }
}
