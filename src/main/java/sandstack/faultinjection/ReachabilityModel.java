package sandstack.faultinjection;

import java.util.Arrays;
import sandstack.faultinjection.FaultSchedule.Step;

/**
 * Which members could have reached each other during a run, derived from the injected faults alone. No I/O, clock or
 * threads. A step costs O(members cubed).
 */
final class ReachabilityModel {
    /**
     * Maximum number of links in a chain over which one member counts as reachable from another. The other one receives
     * the reports of members that reach the first one directly, and it receives them directly or through one member in
     * between.
     */
    private static final int MAX_HOPS = 3;
    /** A shorter pause may remain undetected by the paused member. */
    private static final long MIN_DETECTABLE_PAUSE_MICROS = 3_000_000;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    private static final long REACHABLE = -1;

    private final int members;
    private final boolean[] running;
    private final boolean[] paused;
    private final long[] pausedAtMicros;
    private final long[] resumedAtMicros;
    /** Whether traffic from the first member to the second passes. */
    private final boolean[][] passes;
    /** When the first member became unable to reach the second; {@link #REACHABLE} while it can reach it. */
    private final long[][] unreachableSinceMicros;
    /** When the last period ended in which the first member could not reach the second. */
    private final long[][] unreachableUntilMicros;

    /** How long the period lasted that ended at {@link #unreachableUntilMicros}. */
    private final long[][] lastUnreachableMicros;

    ReachabilityModel(int members) {
        this.members = members;
        running = new boolean[members];
        paused = new boolean[members];
        pausedAtMicros = new long[members];
        resumedAtMicros = new long[members];
        passes = new boolean[members][members];
        unreachableSinceMicros = new long[members][members];
        unreachableUntilMicros = new long[members][members];
        lastUnreachableMicros = new long[members][members];
        Arrays.fill(running, true);
        Arrays.fill(resumedAtMicros, NEVER_MICROS);
        for (int i = 0; i < members; i++) {
            Arrays.fill(passes[i], true);
            Arrays.fill(unreachableSinceMicros[i], REACHABLE);
            Arrays.fill(unreachableUntilMicros[i], NEVER_MICROS);
        }
    }

    void apply(Step step, long nowMicros) {
        int member = step.member();
        int other = step.otherMember();
        switch (step.action()) {
            case PARTITION -> {
                passes[member][other] = false;
                passes[other][member] = false;
            }
            case ONE_WAY_PARTITION -> passes[member][other] = false;
            case HEAL -> {
                passes[member][other] = true;
                passes[other][member] = true;
            }
            case KILL, STOP -> running[member] = false;
            case START -> running[member] = true;
            case PAUSE -> {
                paused[member] = true;
                pausedAtMicros[member] = nowMicros;
            }
            case RESUME -> resume(member, nowMicros);
            default -> {
                // a reset or a slow link does not make a member unreachable
            }
        }
        measureReachability(nowMicros);
    }

    void healAll(long nowMicros) {
        for (int member = 0; member < members; member++) {
            running[member] = true;
            resume(member, nowMicros);
            Arrays.fill(passes[member], true);
        }
        measureReachability(nowMicros);
    }

    private void resume(int member, long nowMicros) {
        // the member need not be paused: healAll resumes all members, and a PAUSE step may be left out of the history
        if (paused[member] && nowMicros - pausedAtMicros[member] >= MIN_DETECTABLE_PAUSE_MICROS) {
            resumedAtMicros[member] = nowMicros;
        }
        paused[member] = false;
    }

    boolean isRunning(int member) {
        return running[member];
    }

    /** When the member was last resumed from a pause that it must detect; far in the past if it never was. */
    long resumedAtMicros(int member) {
        return resumedAtMicros[member];
    }

    /**
     * How long the first member has been unable to reach the second. If it can reach it, how long the last such period
     * lasted if that ended recently, otherwise 0.
     *
     * @param requestedMicros when the view of the first member was requested
     * @param nowMicros when the view arrived
     * @param recentMicros a period that ended less than this before the request is recent
     */
    long unreachableMicros(int from, int to, long requestedMicros, long nowMicros, long recentMicros) {
        if (unreachableSinceMicros[from][to] >= 0) {
            return nowMicros - unreachableSinceMicros[from][to];
        }
        boolean recent = requestedMicros - unreachableUntilMicros[from][to] < recentMicros;
        return recent ? lastUnreachableMicros[from][to] : 0;
    }

    private void measureReachability(long nowMicros) {
        for (int from = 0; from < members; from++) {
            boolean[] reached = reachableFrom(from);
            for (int to = 0; to < members; to++) {
                long since = unreachableSinceMicros[from][to];
                if (reached[to] && since >= 0) {
                    lastUnreachableMicros[from][to] = nowMicros - since;
                    unreachableUntilMicros[from][to] = nowMicros;
                    unreachableSinceMicros[from][to] = REACHABLE;
                } else if (!reached[to] && since < 0) {
                    unreachableSinceMicros[from][to] = nowMicros;
                }
            }
        }
    }

    /** Members that this one reaches over at most {@link #MAX_HOPS} links, each passing traffic in both directions. */
    private boolean[] reachableFrom(int member) {
        boolean[] reached = new boolean[members];
        reached[member] = isResponsive(member);
        for (int hop = 0; hop < MAX_HOPS; hop++) {
            boolean[] next = reached.clone();
            for (int from = 0; from < members; from++) {
                for (int to = 0; reached[from] && to < members; to++) {
                    next[to] |= isResponsive(to) && passes[from][to] && passes[to][from];
                }
            }
            reached = next;
        }
        return reached;
    }

    private boolean isResponsive(int member) {
        return running[member] && !paused[member];
    }
}
