package sandstack.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sandstack.faultinjection.FaultSchedule.Action;
import sandstack.faultinjection.FaultSchedule.Step;
import sandstack.faultinjection.History.AllFaultsHealed;
import sandstack.faultinjection.History.MemberEntry;
import sandstack.faultinjection.History.QuorumObserved;
import sandstack.faultinjection.History.StepApplied;
import sandstack.faultinjection.History.ViewObserved;
import sandstack.faultinjection.InvariantChecker.Violation;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;

/**
 * Runs one fault schedule against real processes and checks the invariants on the observed history. Single-threaded;
 * polls the view of every running member a few times a second.
 */
final class FaultScheduleRunner {
    private static final long POLL_INTERVAL_MICROS = 250_000;
    private static final double FLEET_START_TIMEOUT_SECONDS = 40;
    private static final long MEMBER_START_TIMEOUT_MICROS = 8_000_000;
    private static final long SLOW_LINK_DELAY_MICROS = 200_000;
    private static final long SLOW_LINK_BYTES_PER_SECOND = 64 * 1024;
    private static final int MAX_ZONES = 3;
    private static final long NOT_CONVERGED = -1;

    /**
     * The result of one run.
     *
     * @param convergedAfterMicros time from the end of all faults until every view was complete; -1 if that was not so
     *     before the timeout, or if the fleet did not start
     * @param logs the logs of all members
     */
    record Outcome(List<Violation> violations, long convergedAfterMicros, String logs) {}

    private final FaultSchedule schedule;
    private final ProcessFleet fleet;
    private final History history = new History();
    private final boolean[] running;
    private final boolean[] paused;
    private final long beganNanos;
    private long lastStartMicros = -MEMBER_START_TIMEOUT_MICROS;

    private FaultScheduleRunner(FaultSchedule schedule, ProcessFleet fleet) {
        this.schedule = schedule;
        this.fleet = fleet;
        running = new boolean[schedule.members()];
        paused = new boolean[schedule.members()];
        Arrays.fill(running, true);
        beganNanos = System.nanoTime();
    }

    /** Runs the schedule; the processes have ended when it returns. */
    static Outcome run(List<String> program, FaultSchedule schedule) throws IOException, InterruptedException {
        return run(program, schedule, step -> true);
    }

    /**
     * Runs the schedule but records only some of its steps. The checker must report the effects of an unrecorded fault
     * as a violation; a test verifies this to ensure that the checker detects violations.
     */
    static Outcome run(List<String> program, FaultSchedule schedule, Predicate<Step> isRecorded)
            throws IOException, InterruptedException {
        try (ProcessFleet fleet =
                new ProcessFleet(program, schedule.members(), Math.min(MAX_ZONES, schedule.members()))) {
            fleet.startAll();
            FaultScheduleRunner startup = new FaultScheduleRunner(schedule, fleet);
            if (ProcessFleet.awaitMicros(startup::pollAllAlive, FLEET_START_TIMEOUT_SECONDS) < 0) {
                Violation violation = new Violation(
                        Invariant.FLEET_STARTS_COMPLETE,
                        "not all views were complete within " + FLEET_START_TIMEOUT_SECONDS + " s");
                return new Outcome(List.of(violation), NOT_CONVERGED, fleet.logs());
            }
            return new FaultScheduleRunner(schedule, fleet).run(isRecorded);
        }
    }

    private long nowMicros() {
        return (System.nanoTime() - beganNanos) / 1_000;
    }

    private Outcome run(Predicate<Step> isRecorded) throws IOException, InterruptedException {
        pollViews();
        for (Step step : schedule.steps()) {
            pollViewsUntil((long) (step.atSeconds() * 1e6));
            if (apply(step) && isRecorded.test(step)) {
                history.add(new StepApplied(nowMicros(), step));
            }
        }
        if (healAll()) {
            lastStartMicros = nowMicros();
        }
        long convergedAfterMicros = awaitConvergence();
        pollViews();
        return new Outcome(InvariantChecker.check(schedule.members(), history), convergedAfterMicros, fleet.logs());
    }

    private void pollViewsUntil(long dueMicros) throws InterruptedException {
        while (nowMicros() < dueMicros) {
            Thread.sleep(Math.max(1, Math.min(POLL_INTERVAL_MICROS, dueMicros - nowMicros()) / 1_000));
            pollViews();
        }
    }

    private long awaitConvergence() throws InterruptedException {
        long healedMicros = nowMicros();
        long deadlineMicros = Math.max(healedMicros, lastStartMicros + MEMBER_START_TIMEOUT_MICROS)
                + InvariantChecker.CONVERGENCE_TIMEOUT_MICROS;
        while (nowMicros() < deadlineMicros) {
            Thread.sleep(POLL_INTERVAL_MICROS / 1_000);
            if (pollAllAlive()) {
                return nowMicros() - healedMicros;
            }
        }
        return NOT_CONVERGED;
    }

    /** Applies a step. Returns false if it has no effect, such as the start of a running member. */
    private boolean apply(Step step) throws IOException, InterruptedException {
        int member = step.member();
        int other = step.otherMember();
        switch (step.action()) {
            case PARTITION -> fleet.partition(member, other);
            case ONE_WAY_PARTITION -> fleet.partitionOneWay(member, other);
            case HEAL -> healLink(member, other);
            case RESET -> fleet.resetConnections(member, other);
            case SLOW -> fleet.setLatency(
                    member, other, SLOW_LINK_DELAY_MICROS, SLOW_LINK_DELAY_MICROS, SLOW_LINK_BYTES_PER_SECOND);
            default -> {
                return applyToMember(step.action(), member);
            }
        }
        return true;
    }

    private void healLink(int member, int other) {
        fleet.heal(member, other);
        fleet.setLatency(member, other, 0, 0, 0);
    }

    private boolean applyToMember(Action action, int member) throws IOException, InterruptedException {
        if (!isApplicable(action, member)) {
            return false;
        }
        switch (action) {
            case KILL -> fleet.kill(member);
            case STOP -> fleet.stop(member);
            case START -> fleet.start(member);
            case PAUSE -> fleet.pause(member);
            default -> fleet.resume(member);
        }
        running[member] = action != Action.KILL && action != Action.STOP;
        paused[member] = action == Action.PAUSE;
        if (action == Action.START) {
            lastStartMicros = nowMicros();
        }
        return true;
    }

    private boolean isApplicable(Action action, int member) {
        return switch (action) {
            case START -> !running[member];
            case RESUME -> running[member] && paused[member];
            default -> running[member] && !paused[member];
        };
    }

    /** Ends all faults; returns whether a process had to be started. */
    private boolean healAll() throws IOException, InterruptedException {
        boolean started = false;
        for (int member = 0; member < schedule.members(); member++) {
            for (int other = member + 1; other < schedule.members(); other++) {
                healLink(member, other);
            }
            applyToMember(Action.RESUME, member);
            started |= applyToMember(Action.START, member);
        }
        history.add(new AllFaultsHealed(nowMicros()));
        return started;
    }

    private void pollViews() {
        for (int member = 0; member < schedule.members(); member++) {
            if (running[member] && !paused[member]) {
                pollView(member);
            }
        }
    }

    /** Requests the member's view, records and returns it; null if the member does not respond. */
    private ViewObserved pollView(int member) {
        long requestedMicros = nowMicros();
        JsonNode view = fleet.member(member).view();
        if (view == null) {
            return null;
        }
        Map<String, MemberEntry> entries = new HashMap<>();
        for (JsonNode entry : view.path("members")) {
            MemberStatus status = MemberStatus.ofLabel(entry.path("standing").asText());
            entries.put(
                    entry.path("life").asText(),
                    new MemberEntry(entry.path("name").asText(), status));
        }
        long nowMicros = nowMicros();
        ViewObserved observed = new ViewObserved(
                nowMicros, requestedMicros, member, view.path("self").asText(), entries);
        history.add(observed);
        JsonNode quorum = view.path("ground");
        history.add(new QuorumObserved(
                nowMicros,
                member,
                QuorumState.ofLabel(quorum.path("is").asText()),
                quorum.path("with").size()));
        return observed;
    }

    private boolean pollAllAlive() {
        boolean allAlive = true;
        for (int member = 0; member < schedule.members(); member++) {
            ViewObserved view = pollView(member);
            allAlive &= view != null && isComplete(view);
        }
        return allAlive;
    }

    /** Whether every relay name has an alive incarnation, and no incarnation is suspect or partially reachable. */
    private boolean isComplete(ViewObserved view) {
        long aliveNames = view.entries().values().stream()
                .filter(entry -> entry.status() == MemberStatus.ALIVE)
                .map(MemberEntry::name)
                .distinct()
                .count();
        return aliveNames == schedule.members()
                && view.entries().values().stream()
                        .map(MemberEntry::status)
                        .noneMatch(
                                status -> status == MemberStatus.PARTIALLY_REACHABLE || status == MemberStatus.SUSPECT);
    }
}
