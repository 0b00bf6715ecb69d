package sandstack.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.faultinjection.FaultSchedule.Action;
import sandstack.faultinjection.History.AllFaultsHealed;
import sandstack.faultinjection.History.Event;
import sandstack.faultinjection.History.MemberEntry;
import sandstack.faultinjection.History.QuorumObserved;
import sandstack.faultinjection.History.StepApplied;
import sandstack.faultinjection.History.ViewObserved;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;

/**
 * Checks the {@link Invariant}s on the history of a finished run. It derives from the injected faults which members
 * could have reached each other; it does not depend on how members decide. No I/O, clock or threads. A check costs
 * O(events times members cubed).
 */
final class InvariantChecker {
    /**
     * All views must be complete this long after the end of all faults, or after the time allowed for the last start of
     * a process if that ends later.
     */
    static final long CONVERGENCE_TIMEOUT_MICROS = 5_000_000;
    /** A member must not be declared lost if it was unreachable for less than this. */
    private static final long MIN_UNREACHABLE_BEFORE_LOST_MICROS = 2_000_000;
    /** No view may list a process as a member this long after the process has ended. */
    private static final long FAILURE_DETECTION_TIMEOUT_MICROS = 20_000_000;
    /**
     * A fault still explains a view this long after the fault has ended, because the recovery must first become known
     * to the members.
     */
    private static final long DISSEMINATION_MICROS = 5_000_000;
    /** Time after the end of a pause during which a member must be in {@link QuorumState#UNKNOWN}. */
    private static final long UNKNOWN_AFTER_RESUME_MICROS = 1_000_000;

    /** One violation of an invariant, with the observed values. */
    record Violation(Invariant invariant, String detail) {}

    /** An incarnation in the view of another incarnation. */
    private record Observation(String observer, String subject) {}

    private final int members;
    private final ReachabilityModel reachability;
    private final Map<String, Integer> memberByIncarnation = new HashMap<>();
    private final Map<Integer, String> incarnationByMember = new HashMap<>();
    private final Map<Observation, MemberStatus> lastStatus = new HashMap<>();
    private final Map<String, Long> endedAtMicros = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private InvariantChecker(int members) {
        this.members = members;
        this.reachability = new ReachabilityModel(members);
    }

    /** All violations in a run; empty if every invariant held. */
    static List<Violation> check(int members, History history) {
        InvariantChecker checker = new InvariantChecker(members);
        for (Event event : history.events()) {
            if (event instanceof StepApplied step) {
                checker.stepApplied(step);
            } else if (event instanceof AllFaultsHealed healed) {
                checker.reachability.healAll(healed.atMicros());
            } else if (event instanceof ViewObserved view) {
                checker.checkView(view);
            } else if (event instanceof QuorumObserved quorum) {
                checker.checkQuorum(quorum);
            }
        }
        checker.checkConvergence(history);
        return checker.violations;
    }

    private void violated(Invariant invariant, String detail) {
        violations.add(new Violation(invariant, detail));
    }

    private void stepApplied(StepApplied applied) {
        Action action = applied.step().action();
        if (action == Action.KILL || action == Action.STOP) {
            String incarnation = incarnationByMember.remove(applied.step().member());
            if (incarnation != null) {
                endedAtMicros.put(incarnation, applied.atMicros());
            }
        }
        reachability.apply(applied.step(), applied.atMicros());
    }

    private void checkQuorum(QuorumObserved quorum) {
        QuorumState state = quorum.state();
        int reachable = quorum.reachable();
        boolean majority = state == QuorumState.MAJORITY || state == QuorumState.COMPLETE;
        if (majority && (2 * reachable <= members || (state == QuorumState.COMPLETE && reachable < members))) {
            violated(
                    Invariant.MAJORITY_IS_MORE_THAN_HALF,
                    "member " + quorum.member() + " is " + state + " and reaches " + reachable + " of " + members);
        }
        long sinceResumeMicros = quorum.atMicros() - reachability.resumedAtMicros(quorum.member());
        if (state != QuorumState.UNKNOWN && sinceResumeMicros >= 0 && sinceResumeMicros < UNKNOWN_AFTER_RESUME_MICROS) {
            violated(
                    Invariant.UNKNOWN_AFTER_PAUSE,
                    "member " + quorum.member() + " is " + state + " " + sinceResumeMicros / 1_000
                            + " ms after it was resumed");
        }
    }

    private void checkView(ViewObserved view) {
        memberByIncarnation.put(view.incarnation(), view.member());
        if (reachability.isRunning(view.member())) {
            incarnationByMember.put(view.member(), view.incarnation());
        }
        view.entries().forEach((incarnation, entry) -> checkEntry(view, incarnation, entry));
    }

    private void checkEntry(ViewObserved view, String incarnation, MemberEntry entry) {
        checkLeftIsFinal(view, incarnation, entry);
        Integer subject = memberByIncarnation.get(incarnation);
        if (subject == null || subject == view.member()) {
            return;
        }
        Long endedMicros = endedAtMicros.get(incarnation);
        if (entry.status() == MemberStatus.LOST && endedMicros == null) {
            checkLost(view, subject, entry);
        }
        if (endedMicros != null
                && entry.status().isMember()
                && view.requestedMicros() - endedMicros > FAILURE_DETECTION_TIMEOUT_MICROS) {
            violated(
                    Invariant.DEAD_IS_NO_MEMBER,
                    describe(view, entry) + " " + (view.requestedMicros() - endedMicros) / 1_000
                            + " ms after the process ended");
        }
        if (entry.status() == MemberStatus.LEFT && endedMicros == null) {
            violated(Invariant.RUNNING_HAS_NOT_LEFT, describe(view, entry));
        }
    }

    private void checkLost(ViewObserved view, int subject, MemberEntry entry) {
        long unreachableMicros = reachability.unreachableMicros(
                view.member(),
                subject,
                view.requestedMicros(),
                view.atMicros(),
                DISSEMINATION_MICROS + MIN_UNREACHABLE_BEFORE_LOST_MICROS);
        if (unreachableMicros < MIN_UNREACHABLE_BEFORE_LOST_MICROS) {
            violated(
                    Invariant.REACHABLE_IS_NOT_LOST,
                    describe(view, entry) + ", which was unreachable for " + unreachableMicros / 1_000 + " ms at "
                            + view.atMicros() / 1_000 + " ms of the run");
        }
    }

    private void checkLeftIsFinal(ViewObserved view, String incarnation, MemberEntry entry) {
        MemberStatus before = lastStatus.put(new Observation(view.incarnation(), incarnation), entry.status());
        if (before == MemberStatus.LEFT && entry.status() != MemberStatus.LEFT) {
            violated(Invariant.LEFT_IS_FINAL, describe(view, entry) + " after it was LEFT");
        }
    }

    private static String describe(ViewObserved view, MemberEntry entry) {
        return "member " + view.member() + " reports " + entry.name() + " as " + entry.status();
    }

    /** Checks that in the last view of each member every name has exactly one present incarnation, which is alive. */
    private void checkConvergence(History history) {
        Map<Integer, ViewObserved> lastViews = new HashMap<>();
        long healedAtMicros = -1;
        for (Event event : history.events()) {
            if (event instanceof AllFaultsHealed healed) {
                healedAtMicros = healed.atMicros();
            } else if (event instanceof ViewObserved view && healedAtMicros >= 0) {
                lastViews.put(view.member(), view);
            }
        }
        for (int member = 0; member < members; member++) {
            ViewObserved view = lastViews.get(member);
            if (view == null) {
                violated(
                        Invariant.MEMBERS_RESPOND, "member " + member + " reported no view after all faults had ended");
            } else {
                checkLastView(view, healedAtMicros);
            }
        }
    }

    private void checkLastView(ViewObserved view, long healedAtMicros) {
        Map<String, MemberStatus> present = new HashMap<>();
        view.entries().forEach((incarnation, entry) -> {
            if (entry.status().isMember() && present.put(entry.name(), entry.status()) != null) {
                violated(
                        Invariant.ONE_INCARNATION_PER_NAME,
                        "member " + view.member() + " reports two present incarnations of " + entry.name());
            }
        });
        if (present.size() != members || present.values().stream().anyMatch(status -> status != MemberStatus.ALIVE)) {
            violated(
                    Invariant.VIEWS_CONVERGE,
                    "member " + view.member() + " reports " + present + " " + (view.atMicros() - healedAtMicros) / 1_000
                            + " ms after all faults had ended");
        }
    }
}
