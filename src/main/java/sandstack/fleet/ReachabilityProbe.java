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
 * Tracks which members this one reaches directly. The library probes indirectly where its own probe fails, and so keeps
 * a member that some reach; the table also needs to know which ones do. Each member is probed once a round, in an order
 * that is shuffled for each round. It takes {@link #CONSECUTIVE_RESULTS} results in a row to change what is known, so
 * one lost packet is no failed link and one response no recovery.
 *
 * <p>Not thread-safe. A tick costs O(members).
 */
public final class ReachabilityProbe {
    /** Minimum duration of a round. */
    public static final long MIN_ROUND_MICROS = 1_000_000;

    static final long ROUND_MICROS_PER_MEMBER = 50_000;
    /** Results in a row that change the reachability of a member. */
    static final int CONSECUTIVE_RESULTS = 2;

    /** The latest results of one member. */
    private static final class ProbeHistory {
        int consecutiveTimeouts;
        int consecutiveAnswers;
        boolean reachable = true;
        /** Whether any result counts yet; before that the member is neither reachable nor unreachable. */
        boolean decided;
    }

    private final RandomGenerator random;
    private final Map<String, ProbeHistory> histories = new LinkedHashMap<>();
    private final List<String> pending = new ArrayList<>();
    private long roundStartMicros = Long.MIN_VALUE / 2;

    /** Creates a probe without members; {@code random} shuffles each round. */
    public ReachabilityProbe(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the members to probe, without this one; those that stay keep their history. */
    public void setMembers(Collection<String> ids) {
        histories.keySet().retainAll(ids);
        pending.retainAll(histories.keySet());
        ids.forEach(id -> histories.computeIfAbsent(id, ignored -> new ProbeHistory()));
    }

    /** Removes and returns the members that are due in the current round by now. */
    public List<String> takeDue(long nowMicros) {
        long roundMicros = Math.max(MIN_ROUND_MICROS, ROUND_MICROS_PER_MEMBER * histories.size());
        List<String> due = new ArrayList<>();
        if (nowMicros - roundStartMicros >= roundMicros) {
            // after a late tick some of the previous round are left
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

    /** This process has stalled: the timeouts so far say nothing about the other members. */
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

    /** Ids of the members that this one reaches; members without any result yet are not among them. */
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
