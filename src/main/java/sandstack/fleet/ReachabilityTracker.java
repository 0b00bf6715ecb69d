package sandstack.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Tracks which members this one reaches directly, and schedules the probes. The library probes indirectly if its own
 * probe fails, and so it keeps a member that only some members reach; the {@link MemberTable} also needs to know which
 * ones do. Each member is probed once per round, in an order that is shuffled for each round. A new member is reachable
 * after its first answer. Later its reachability changes only after {@link #CONSECUTIVE_RESULTS} equal results in a
 * row, so that one lost packet does not count as a failed link, nor one response as a recovery.
 *
 * <p>Not thread-safe. A call costs O(members) at most.
 */
public final class ReachabilityTracker {
    /** Minimum duration of a round. */
    public static final long MIN_ROUND_MICROS = 1_000_000;

    static final long ROUND_MICROS_PER_MEMBER = 50_000;
    /** Number of equal results in a row that change the reachability of a member. */
    static final int CONSECUTIVE_RESULTS = 2;

    /** The latest probe results of one member. */
    private static final class ProbeHistory {
        int consecutiveTimeouts;
        int consecutiveAnswers;
        boolean reachable = true;
        /** Whether the results suffice to decide; until then the member is neither reachable nor unreachable. */
        boolean decided;
    }

    private final RandomGenerator random;
    private final Map<String, ProbeHistory> histories = new LinkedHashMap<>();
    private final List<String> pending = new ArrayList<>();
    private long roundStartMicros = Long.MIN_VALUE / 2;

    /** Creates a tracker without members; {@code random} shuffles the order of each round. */
    public ReachabilityTracker(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the members to probe, which must not include this one; members that were already set keep their history. */
    public void setMembers(Collection<String> ids) {
        histories.keySet().retainAll(ids);
        pending.retainAll(histories.keySet());
        ids.forEach(id -> histories.computeIfAbsent(id, ignored -> new ProbeHistory()));
    }

    /** Returns the members whose probes in the current round are due, and removes them from it. */
    public List<String> takeDue(long nowMicros) {
        long roundMicros = Math.max(MIN_ROUND_MICROS, ROUND_MICROS_PER_MEMBER * histories.size());
        List<String> due = new ArrayList<>();
        if (nowMicros - roundStartMicros >= roundMicros) {
            // after a late call some members of the previous round remain
            due.addAll(pending);
            roundStartMicros = nowMicros;
            pending.clear();
            pending.addAll(histories.keySet());
            Collections.shuffle(pending, new Random(random.nextLong()));
        }
        int remaining = (int) (histories.size() * (roundMicros - (nowMicros - roundStartMicros)) / roundMicros);
        while (pending.size() > remaining) {
            due.add(pending.remove(pending.size() - 1));
        }
        return due;
    }

    /** A member has answered a probe; returns whether its reachability has changed. */
    public boolean probeAnswered(String id) {
        ProbeHistory history = histories.get(id);
        if (history == null) {
            return false;
        }
        boolean first = !history.decided;
        history.decided = true;
        history.consecutiveTimeouts = 0;
        history.consecutiveAnswers++;
        if (history.reachable || history.consecutiveAnswers < CONSECUTIVE_RESULTS) {
            return first;
        }
        history.reachable = true;
        return true;
    }

    /** A probe has timed out; returns whether the reachability of its member has changed. */
    public boolean probeTimedOut(String id) {
        ProbeHistory history = histories.get(id);
        if (history == null) {
            return false;
        }
        history.consecutiveAnswers = 0;
        history.consecutiveTimeouts++;
        if (!history.reachable || history.consecutiveTimeouts < CONSECUTIVE_RESULTS) {
            return false;
        }
        history.decided = true;
        history.reachable = false;
        return true;
    }

    /** This process has stalled. Discards the timeouts so far, because the stall may have caused them. */
    public void processStalled() {
        histories.values().forEach(history -> history.consecutiveTimeouts = 0);
    }

    /** Ids of the members that this one does not reach. */
    public Set<String> unreachable() {
        Set<String> ids = new HashSet<>();
        histories.forEach((id, history) -> {
            if (!history.reachable) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Ids of the members that this one reaches, without members whose results do not suffice to decide yet. */
    public Set<String> reachable() {
        Set<String> ids = new HashSet<>();
        histories.forEach((id, history) -> {
            if (history.decided && history.reachable) {
                ids.add(id);
            }
        });
        return ids;
    }
}
