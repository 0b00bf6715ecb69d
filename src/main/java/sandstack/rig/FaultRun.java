package sandstack.rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;
import sandstack.rig.Facts.Done;
import sandstack.rig.Facts.LetGo;
import sandstack.rig.Facts.Line;
import sandstack.rig.Facts.Seen;
import sandstack.rig.Facts.Stands;
import sandstack.rig.Schedule.Kind;
import sandstack.rig.Schedule.Step;

/**
 * Plays one schedule with real processes and checks the rules on what was seen. One thread; asks every running member
 * for its view a few times a second.
 */
final class FaultRun {
    private static final long LOOK_EVERY = 250_000;
    private static final double STARTS_WITHIN_SECONDS = 40;
    private static final long SLOW_DELAY = 200_000;
    private static final long SLOW_RATE = 64 * 1024;

    /**
     * What came of it.
     *
     * @param equalAfter microseconds from the end of all faults until all views were equal; -1 where they never were
     */
    record Outcome(List<Rules.Broken> broken, long equalAfter, String logs) {}

    private final Schedule schedule;
    private final FleetRig rig;
    private final Facts facts = new Facts();
    private final boolean[] runs;
    private final boolean[] paused;
    private final long began;
    /** When a process was last started. */
    private long startedAt = -Rules.STARTS_WITHIN;

    private FaultRun(Schedule schedule, FleetRig rig) {
        this.schedule = schedule;
        this.rig = rig;
        runs = new boolean[schedule.members()];
        paused = new boolean[schedule.members()];
        java.util.Arrays.fill(runs, true);
        began = System.nanoTime();
    }

    /** Plays it; the processes are ended when it returns. */
    static Outcome play(List<String> program, Schedule schedule) throws IOException, InterruptedException {
        return play(program, schedule, step -> true);
    }

    /**
     * The same, where the rules hear only of some steps: a fault that they do not know of has to look to them like
     * members that break a rule, or they see nothing.
     */
    static Outcome play(List<String> program, Schedule schedule, Predicate<Step> told)
            throws IOException, InterruptedException {
        try (FleetRig rig = new FleetRig(program, schedule.members(), Math.min(3, schedule.members()))) {
            rig.startAll();
            FaultRun run = new FaultRun(schedule, rig);
            if (FleetRig.until(run::allAlive, STARTS_WITHIN_SECONDS) < 0) {
                return new Outcome(
                        List.of(new Rules.Broken(
                                "a fleet that starts undisturbed is whole",
                                "not all saw all within " + STARTS_WITHIN_SECONDS + " s")),
                        -1,
                        rig.logs());
            }
            return new FaultRun(schedule, rig).play(told);
        }
    }

    private long now() {
        return (System.nanoTime() - began) / 1_000;
    }

    private Outcome play(Predicate<Step> told) throws IOException, InterruptedException {
        look();
        for (Step step : schedule.steps()) {
            long due = (long) (step.at() * 1e6);
            while (now() < due) {
                Thread.sleep(Math.max(1, Math.min(LOOK_EVERY, due - now()) / 1_000));
                look();
            }
            if (carryOut(step) && told.test(step)) {
                facts.add(new Done(now(), step));
            }
        }
        if (letGo()) {
            startedAt = now();
        }
        long go = now();
        long limit = Math.max(go, startedAt + Rules.STARTS_WITHIN) + Rules.EQUAL_AFTER;
        long equal = -1;
        while (equal < 0 && now() < limit) {
            Thread.sleep(LOOK_EVERY / 1_000);
            equal = allAlive() ? now() - go : -1;
        }
        look();
        return new Outcome(Rules.check(schedule.members(), facts), equal, rig.logs());
    }

    /** Whether there was anything to do. */
    private boolean carryOut(Step step) throws IOException, InterruptedException {
        int a = step.a();
        int b = step.b();
        switch (step.kind()) {
            case CUT -> rig.cut(a, b);
            case CUT_ONE_WAY -> rig.cutOneWay(a, b);
            case HEAL -> {
                rig.heal(a, b);
                rig.slow(a, b, 0, 0, 0);
            }
            case RESET -> rig.reset(a, b);
            case SLOW -> rig.slow(a, b, SLOW_DELAY, SLOW_DELAY, SLOW_RATE);
            default -> {
                return ofOne(step.kind(), a);
            }
        }
        return true;
    }

    private boolean ofOne(Kind kind, int a) throws IOException, InterruptedException {
        boolean can =
                kind == Kind.START ? !runs[a] : kind == Kind.RESUME ? runs[a] && paused[a] : runs[a] && !paused[a];
        if (!can) {
            return false;
        }
        switch (kind) {
            case KILL -> rig.kill(a);
            case STOP -> rig.stop(a);
            case START -> rig.start(a);
            case PAUSE -> rig.pause(a);
            default -> rig.resume(a);
        }
        runs[a] = kind != Kind.KILL && kind != Kind.STOP;
        startedAt = kind == Kind.START ? now() : startedAt;
        paused[a] = kind == Kind.PAUSE;
        return true;
    }

    /** Ends all faults; returns whether a process had to be started. */
    private boolean letGo() throws IOException, InterruptedException {
        boolean started = false;
        for (int a = 0; a < schedule.members(); a++) {
            for (int b = a + 1; b < schedule.members(); b++) {
                rig.heal(a, b);
                rig.slow(a, b, 0, 0, 0);
            }
            ofOne(Kind.RESUME, a);
            started |= ofOne(Kind.START, a);
        }
        facts.add(new LetGo(now()));
        return started;
    }

    /** Asks all that run. */
    private void look() {
        for (int i = 0; i < schedule.members(); i++) {
            if (runs[i] && !paused[i]) {
                look(i);
            }
        }
    }

    private Seen look(int i) {
        long asked = now();
        JsonNode view = rig.member(i).view();
        if (view == null) {
            return null;
        }
        Map<String, Line> seen = new HashMap<>();
        for (JsonNode member : view.path("members")) {
            seen.put(
                    member.path("life").asText(),
                    new Line(
                            member.path("name").asText(),
                            MemberStatus.ofLabel(member.path("standing").asText())));
        }
        Seen fact = new Seen(now(), asked, i, view.path("self").asText(), seen);
        facts.add(fact);
        JsonNode ground = view.path("ground");
        facts.add(new Stands(
                fact.at(),
                i,
                QuorumState.ofLabel(ground.path("is").asText()),
                ground.path("with").size()));
        return fact;
    }

    private boolean allAlive() {
        boolean all = true;
        for (int i = 0; i < schedule.members(); i++) {
            Seen seen = look(i);
            all &= seen != null
                    && seen.seen().values().stream()
                                    .filter(l -> l.standing() == MemberStatus.ALIVE)
                                    .map(Line::name)
                                    .distinct()
                                    .count()
                            == schedule.members()
                    && seen.seen().values().stream()
                            .noneMatch(l -> l.standing() == MemberStatus.PARTIALLY_REACHABLE
                                    || l.standing() == MemberStatus.SUSPECT);
        }
        return all;
    }
}
