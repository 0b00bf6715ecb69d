package sandstack.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;
import sandstack.rig.History.AllFaultsHealed;
import sandstack.rig.History.Event;
import sandstack.rig.History.MemberEntry;
import sandstack.rig.History.QuorumObserved;
import sandstack.rig.History.StepApplied;
import sandstack.rig.History.ViewObserved;

/**
 * What must hold of a fleet, checked on the facts of a run after it. The rules know what was done to links and processes
 * and so who could have reached whom; they do not know how members decide. Pure; O(facts times members squared).
 */
final class InvariantChecker {
    /** Views are equal so long after all faults ended; starting a process takes a part of it. */
    static final long CONVERGENCE_TIMEOUT_MICROS = 5_000_000;

    static final long START_TIMEOUT_MICROS = 8_000_000;
    /** Nobody is given up who was out of reach for less. */
    static final long MIN_UNREACHABLE_BEFORE_LOST_MICROS = 2_000_000;
    /** A dead process is not called a member after so long. */
    static final long FAILURE_DETECTION_TIMEOUT_MICROS = 20_000_000;
    /** Members hear of one by the words of those whom the library reaches, through one other at the most. */
    private static final int MAX_HOPS = 3;
    /** A fault that has just ended still explains what is seen, as others have to hear of it. */
    private static final long DISSEMINATION_MICROS = 5_000_000;

    /** A pause of so long is a standstill, and for so long after it no member is sure. */
    private static final long MIN_NOTICEABLE_PAUSE_MICROS = 3_000_000;

    private static final long UNKNOWN_AFTER_RESUME_MICROS = 1_000_000;

    /** One broken rule. */
    record Violation(String invariant, String detail) {}

    private final int members;
    private final boolean[] runs;
    private final boolean[] paused;
    private final boolean[][] passes;
    private final long[][] apartSince;
    private final long[][] apartUntil;
    private final long[][] apartFor;
    private final long[] downSince;
    private final long[] pausedAt;
    private final long[] resumedAt;
    private final Map<String, Integer> memberByIncarnation = new HashMap<>();
    private final Map<Integer, String> incarnationByMember = new HashMap<>();
    private final Map<String, MemberStatus> ended = new HashMap<>();
    private final Map<String, Long> deadSinceMicros = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private InvariantChecker(int members) {
        this.members = members;
        runs = new boolean[members];
        paused = new boolean[members];
        passes = new boolean[members][members];
        apartSince = new long[members][members];
        apartUntil = new long[members][members];
        apartFor = new long[members][members];
        downSince = new long[members];
        pausedAt = new long[members];
        resumedAt = new long[members];
        java.util.Arrays.fill(resumedAt, Long.MIN_VALUE / 2);
        for (int i = 0; i < members; i++) {
            runs[i] = true;
            downSince[i] = -1;
            for (int j = 0; j < members; j++) {
                passes[i][j] = true;
                apartSince[i][j] = -1;
                apartUntil[i][j] = Long.MIN_VALUE / 2;
            }
        }
    }

    /** All that is broken in this run; empty where nothing is. */
    static List<Violation> check(int members, History facts) {
        InvariantChecker rules = new InvariantChecker(members);
        for (Event fact : facts.events()) {
            if (fact instanceof StepApplied done) {
                rules.stepApplied(done);
            } else if (fact instanceof AllFaultsHealed go) {
                rules.allFaultsHealed(go);
            } else if (fact instanceof ViewObserved seen) {
                rules.checkView(seen);
            } else if (fact instanceof QuorumObserved stands) {
                rules.checkQuorum(stands);
            }
        }
        rules.checkConvergence(facts);
        return rules.violations;
    }

    private void stepApplied(StepApplied done) {
        int a = done.step().member();
        int b = done.step().otherMember();
        switch (done.step().action()) {
            case PARTITION -> {
                passes[a][b] = false;
                passes[b][a] = false;
            }
            case ONE_WAY_PARTITION -> passes[a][b] = false;
            case HEAL -> {
                passes[a][b] = true;
                passes[b][a] = true;
            }
            case KILL, STOP -> {
                runs[a] = false;
                String life = incarnationByMember.remove(a);
                if (life != null) {
                    deadSinceMicros.put(life, done.atMicros());
                }
            }
            case START -> runs[a] = true;
            case PAUSE -> {
                paused[a] = true;
                pausedAt[a] = done.atMicros();
            }
            case RESUME -> resumed(a, done.atMicros());
            default -> {
                // a reset or a slow link separates nobody
            }
        }
        measureApart(done.atMicros());
    }

    private void allFaultsHealed(AllFaultsHealed go) {
        for (int i = 0; i < members; i++) {
            runs[i] = true;
            resumed(i, go.atMicros());
            java.util.Arrays.fill(passes[i], true);
        }
        measureApart(go.atMicros());
    }

    private void resumed(int i, long now) {
        // a step that came before its pause was let go at the end says nothing
        if (paused[i] && now - pausedAt[i] >= MIN_NOTICEABLE_PAUSE_MICROS) {
            resumedAt[i] = now;
        }
        paused[i] = false;
    }

    /** Who acts as most is more than half of what staff state, and nobody acts on what was believed before a standstill. */
    private void checkQuorum(QuorumObserved s) {
        boolean most = s.state() == QuorumState.MAJORITY || s.state() == QuorumState.COMPLETE;
        if (most && (2 * s.reachable() <= members || s.state() == QuorumState.COMPLETE && s.reachable() < members)) {
            violations.add(new Violation(
                    "most is more than half of what staff state",
                    s.member() + " is " + s.state() + " with " + s.reachable() + " of " + members));
        }
        if (s.state() != QuorumState.UNKNOWN
                && s.atMicros() >= resumedAt[s.member()]
                && s.atMicros() - resumedAt[s.member()] < UNKNOWN_AFTER_RESUME_MICROS) {
            violations.add(new Violation(
                    "who stood still is unsure",
                    s.member() + " is " + s.state() + " " + (s.atMicros() - resumedAt[s.member()]) / 1_000
                            + " ms after it went on"));
        }
    }

    /** Who cannot reach whom by a chain of up to {@link #MAX_HOPS} links that pass both ways, and since when. */
    private void measureApart(long now) {
        for (int i = 0; i < members; i++) {
            boolean[] reached = new boolean[members];
            reached[i] = up(i);
            for (int link = 0; link < MAX_HOPS; link++) {
                boolean[] next = reached.clone();
                for (int x = 0; x < members; x++) {
                    for (int y = 0; reached[x] && y < members; y++) {
                        next[y] |= up(y) && passes[x][y] && passes[y][x];
                    }
                }
                reached = next;
            }
            for (int j = 0; j < members; j++) {
                if (reached[j] && apartSince[i][j] >= 0) {
                    apartFor[i][j] = now - apartSince[i][j];
                    apartUntil[i][j] = now;
                    apartSince[i][j] = -1;
                } else if (!reached[j] && apartSince[i][j] < 0) {
                    apartSince[i][j] = now;
                }
            }
        }
    }

    private boolean up(int i) {
        return runs[i] && !paused[i];
    }

    private void checkView(ViewObserved seen) {
        memberByIncarnation.put(seen.incarnation(), seen.member());
        if (runs[seen.member()]) {
            incarnationByMember.put(seen.member(), seen.incarnation());
        }
        seen.entries().forEach((life, line) -> {
            Integer of = memberByIncarnation.get(life);
            checkLeftIsFinal(seen, life, line);
            if (of == null || of == seen.member()) {
                return;
            }
            if (line.status() == MemberStatus.LOST && !deadSinceMicros.containsKey(life)) {
                checkLost(seen, of, line);
            }
            Long dead = deadSinceMicros.get(life);
            if (dead != null
                    && line.status().isMember()
                    && seen.requestedMicros() - dead > FAILURE_DETECTION_TIMEOUT_MICROS) {
                violations.add(new Violation(
                        "a dead process is no member",
                        seen.member() + " calls " + line.name() + " " + line.status() + " "
                                + (seen.requestedMicros() - dead) / 1_000 + " ms after it died"));
            }
            if (line.status() == MemberStatus.LEFT && dead == null) {
                violations.add(
                        new Violation("who runs has not left", seen.member() + " calls " + line.name() + " LEFT"));
            }
        });
    }

    /** Who was never out of reach, or only for a moment, is not given up. */
    private void checkLost(ViewObserved seen, int of, MemberEntry line) {
        int by = seen.member();
        long apart = apartSince[by][of] >= 0
                ? seen.atMicros() - apartSince[by][of]
                : seen.requestedMicros() - apartUntil[by][of]
                                < DISSEMINATION_MICROS + MIN_UNREACHABLE_BEFORE_LOST_MICROS
                        ? apartFor[by][of]
                        : 0;
        if (apart < MIN_UNREACHABLE_BEFORE_LOST_MICROS) {
            violations.add(new Violation(
                    "nobody within reach is lost",
                    by + " calls " + line.name() + " LOST, which was out of reach for " + apart / 1_000 + " ms at "
                            + seen.atMicros() / 1_000 + " ms"));
        }
    }

    /** A life that left never comes back, for anyone who has seen it leave. */
    private void checkLeftIsFinal(ViewObserved seen, String life, MemberEntry line) {
        String key = seen.incarnation() + "<" + life;
        if (ended.get(key) == MemberStatus.LEFT && line.status() != MemberStatus.LEFT) {
            violations.add(new Violation(
                    "who left stays left",
                    seen.member() + " calls " + line.name() + " " + line.status() + " after LEFT"));
        }
        ended.put(key, line.status());
    }

    /** The last view of each: every name has one present life, which is alive, and all name the same. */
    private void checkConvergence(History facts) {
        Map<Integer, ViewObserved> last = new HashMap<>();
        long go = -1;
        for (Event fact : facts.events()) {
            if (fact instanceof AllFaultsHealed l) {
                go = l.atMicros();
            } else if (fact instanceof ViewObserved seen && go >= 0) {
                last.put(seen.member(), seen);
            }
        }
        for (int i = 0; i < members; i++) {
            ViewObserved seen = last.get(i);
            if (seen == null) {
                violations.add(new Violation("whoever runs answers", i + " told nothing after all faults had ended"));
                continue;
            }
            Map<String, MemberStatus> present = new HashMap<>();
            seen.entries().forEach((life, line) -> {
                if (line.status().isMember() && present.put(line.name(), line.status()) != null) {
                    violations.add(new Violation(
                            "a name has one present life", seen.member() + " sees two of " + line.name()));
                }
            });
            if (present.size() != members || present.values().stream().anyMatch(s -> s != MemberStatus.ALIVE)) {
                violations.add(new Violation(
                        "views are equal after all faults have ended",
                        i + " sees " + present + " " + (seen.atMicros() - go) / 1_000 + " ms after"));
            }
        }
    }
}
