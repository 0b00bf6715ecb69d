package sandstack.rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;
import sandstack.rig.FaultSchedule.Action;
import sandstack.rig.FaultSchedule.Step;
import sandstack.rig.History.AllFaultsHealed;
import sandstack.rig.History.MemberEntry;
import sandstack.rig.History.QuorumObserved;
import sandstack.rig.History.StepApplied;
import sandstack.rig.History.ViewObserved;

/**
 * Plays one schedule with real processes and checks the rules on what was seen. One thread; asks every running member
 * for its view a few times a second.
 */
final class FaultScheduleRunner {
    private static final long POLL_INTERVAL_MICROS = 250_000;
    private static final double START_TIMEOUT_SECONDS = 40;
    private static final long SLOW_LINK_DELAY_MICROS = 200_000;
    private static final long SLOW_LINK_BYTES_PER_SECOND = 64 * 1024;

    /**
     * What came of it.
     *
     * @param convergedAfterMicros microseconds from the end of all faults until all views were equal; -1 where they never were
     */
    record Outcome(List<InvariantChecker.Violation> violations, long convergedAfterMicros, String logs) {}

    private final FaultSchedule schedule;
    private final FleetRig fleet;
    private final History history = new History();
    private final boolean[] running;
    private final boolean[] paused;
    private final long beganNanos;
    /** When a process was last started. */
    private long lastStartMicros = -InvariantChecker.START_TIMEOUT_MICROS;

    private FaultScheduleRunner(FaultSchedule schedule, FleetRig fleet) {
        this.schedule = schedule;
        this.fleet = fleet;
        running = new boolean[schedule.members()];
        paused = new boolean[schedule.members()];
        java.util.Arrays.fill(running, true);
        beganNanos = System.nanoTime();
    }

    /** Plays it; the processes are ended when it returns. */
    static Outcome run(List<String> program, FaultSchedule schedule) throws IOException, InterruptedException {
        return run(program, schedule, step -> true);
    }

    /**
     * The same, where the rules hear only of some steps: a fault that they do not know of has to look to them like
     * members that break a rule, or they see nothing.
     */
    static Outcome run(List<String> program, FaultSchedule schedule, Predicate<Step> visibleToChecker)
            throws IOException, InterruptedException {
        try (FleetRig fleet = new FleetRig(program, schedule.members(), Math.min(3, schedule.members()))) {
            fleet.startAll();
            FaultScheduleRunner run = new FaultScheduleRunner(schedule, fleet);
            if (FleetRig.until(run::allAlive, START_TIMEOUT_SECONDS) < 0) {
                return new Outcome(
                        List.of(new InvariantChecker.Violation(
                                "a fleet that starts undisturbed is whole",
                                "not all saw all within " + START_TIMEOUT_SECONDS + " s")),
                        -1,
                        fleet.logs());
            }
            return new FaultScheduleRunner(schedule, fleet).run(visibleToChecker);
        }
    }

    private long nowMicros() {
        return (System.nanoTime() - beganNanos) / 1_000;
    }

    private Outcome run(Predicate<Step> visibleToChecker) throws IOException, InterruptedException {
        pollViews();
        for (Step step : schedule.steps()) {
            long due = (long) (step.atSeconds() * 1e6);
            while (nowMicros() < due) {
                Thread.sleep(Math.max(1, Math.min(POLL_INTERVAL_MICROS, due - nowMicros()) / 1_000));
                pollViews();
            }
            if (apply(step) && visibleToChecker.test(step)) {
                history.add(new StepApplied(nowMicros(), step));
            }
        }
        if (healAll()) {
            lastStartMicros = nowMicros();
        }
        long go = nowMicros();
        long limit = Math.max(go, lastStartMicros + InvariantChecker.START_TIMEOUT_MICROS)
                + InvariantChecker.CONVERGENCE_TIMEOUT_MICROS;
        long equal = -1;
        while (equal < 0 && nowMicros() < limit) {
            Thread.sleep(POLL_INTERVAL_MICROS / 1_000);
            equal = allAlive() ? nowMicros() - go : -1;
        }
        pollViews();
        return new Outcome(InvariantChecker.check(schedule.members(), history), equal, fleet.logs());
    }

    /** Whether there was anything to do. */
    private boolean apply(Step step) throws IOException, InterruptedException {
        int a = step.member();
        int b = step.otherMember();
        switch (step.action()) {
            case PARTITION -> fleet.cut(a, b);
            case ONE_WAY_PARTITION -> fleet.partitionOneWay(a, b);
            case HEAL -> {
                fleet.heal(a, b);
                fleet.slow(a, b, 0, 0, 0);
            }
            case RESET -> fleet.reset(a, b);
            case SLOW -> fleet.slow(a, b, SLOW_LINK_DELAY_MICROS, SLOW_LINK_DELAY_MICROS, SLOW_LINK_BYTES_PER_SECOND);
            default -> {
                return applyToMember(step.action(), a);
            }
        }
        return true;
    }

    private boolean applyToMember(Action kind, int a) throws IOException, InterruptedException {
        boolean can = kind == Action.START
                ? !running[a]
                : kind == Action.RESUME ? running[a] && paused[a] : running[a] && !paused[a];
        if (!can) {
            return false;
        }
        switch (kind) {
            case KILL -> fleet.kill(a);
            case STOP -> fleet.stop(a);
            case START -> fleet.start(a);
            case PAUSE -> fleet.pause(a);
            default -> fleet.resume(a);
        }
        running[a] = kind != Action.KILL && kind != Action.STOP;
        lastStartMicros = kind == Action.START ? nowMicros() : lastStartMicros;
        paused[a] = kind == Action.PAUSE;
        return true;
    }

    /** Ends all faults; returns whether a process had to be started. */
    private boolean healAll() throws IOException, InterruptedException {
        boolean started = false;
        for (int a = 0; a < schedule.members(); a++) {
            for (int b = a + 1; b < schedule.members(); b++) {
                fleet.heal(a, b);
                fleet.slow(a, b, 0, 0, 0);
            }
            applyToMember(Action.RESUME, a);
            started |= applyToMember(Action.START, a);
        }
        history.add(new AllFaultsHealed(nowMicros()));
        return started;
    }

    /** Asks all that run. */
    private void pollViews() {
        for (int i = 0; i < schedule.members(); i++) {
            if (running[i] && !paused[i]) {
                pollViews(i);
            }
        }
    }

    private ViewObserved pollViews(int i) {
        long asked = nowMicros();
        JsonNode view = fleet.member(i).view();
        if (view == null) {
            return null;
        }
        Map<String, MemberEntry> seen = new HashMap<>();
        for (JsonNode member : view.path("members")) {
            seen.put(
                    member.path("life").asText(),
                    new MemberEntry(
                            member.path("name").asText(),
                            MemberStatus.ofLabel(member.path("standing").asText())));
        }
        ViewObserved fact =
                new ViewObserved(nowMicros(), asked, i, view.path("self").asText(), seen);
        history.add(fact);
        JsonNode ground = view.path("ground");
        history.add(new QuorumObserved(
                fact.atMicros(),
                i,
                QuorumState.ofLabel(ground.path("is").asText()),
                ground.path("with").size()));
        return fact;
    }

    private boolean allAlive() {
        boolean all = true;
        for (int i = 0; i < schedule.members(); i++) {
            ViewObserved seen = pollViews(i);
            all &= seen != null
                    && seen.entries().values().stream()
                                    .filter(l -> l.status() == MemberStatus.ALIVE)
                                    .map(MemberEntry::name)
                                    .distinct()
                                    .count()
                            == schedule.members()
                    && seen.entries().values().stream()
                            .noneMatch(l -> l.status() == MemberStatus.PARTIALLY_REACHABLE
                                    || l.status() == MemberStatus.SUSPECT);
        }
        return all;
    }
}
