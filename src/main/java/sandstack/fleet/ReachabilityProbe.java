package sandstack.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Which members this one reaches itself. The library asks others where its own question stays unanswered, and so keeps
 * a member that some reach; who they are has to be known too. Each member is asked in turn, all of them within one
 * round, in an order drawn anew each round. One lost question is no cut link, and one answer no mended one.
 *
 * <p>One thread; a turn costs O(members). Keeps a few numbers a member.
 */
public final class ReachabilityProbe {
    /** Microseconds of a round, at least, and for each member. */
    public static final long MIN_ROUND_MICROS = 1_000_000;

    static final long ROUND_MICROS_PER_MEMBER = 50_000;
    /** Questions in a row that decide. */
    static final int CONSECUTIVE_RESULTS = 2;

    /** What the last questions to one member came to. */
    private static final class ProbeHistory {
        int consecutiveTimeouts;
        int consecutiveAnswers;
        boolean reachable = true;
        boolean decided;
    }

    private final RandomGenerator random;
    private final Map<String, ProbeHistory> histories = new LinkedHashMap<>();
    private final List<String> pending = new ArrayList<>();
    private long roundStartMicros = Long.MIN_VALUE / 2;

    /** Creates a probe without members; {@code chance} draws the order of each round. */
    public ReachabilityProbe(RandomGenerator random) {
        this.random = random;
    }

    /** The members there are now, without this one. */
    public void setMembers(Collection<String> ids) {
        histories.keySet().retainAll(ids);
        pending.retainAll(histories.keySet());
        ids.forEach(id -> histories.computeIfAbsent(id, ignored -> new ProbeHistory()));
    }

    /** Who is to be asked now: of the present round, as many as are due by now. */
    public List<String> takeDue(long nowMicros) {
        long roundMicros = Math.max(MIN_ROUND_MICROS, ROUND_MICROS_PER_MEMBER * histories.size());
        List<String> due = new ArrayList<>();
        if (nowMicros - roundStartMicros >= roundMicros) {
            // turns that come late leave some over: they are asked before the next round begins
            due.addAll(pending);
            roundStartMicros = nowMicros;
            pending.clear();
            pending.addAll(histories.keySet());
            Collections.shuffle(pending, new java.util.Random(random.nextLong()));
        }
        int remaining = (int) (histories.size() * (roundMicros - (nowMicros - roundStartMicros)) / roundMicros);
        while (pending.size() > remaining) {
            due.add(pending.remove(pending.size() - 1));
        }
        return due;
    }

    /** The member answered; returns whether that changes what is known. */
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

    /** A question had no answer in time; returns whether that changes what is known. */
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

    /** This process did not run for a while: what stayed unanswered meanwhile says nothing of others. */
    public void processStalled() {
        histories.values().forEach(history -> history.consecutiveTimeouts = 0);
    }

    /** Members that this one does not reach. */
    public Set<String> unreachable() {
        Set<String> ids = new HashSet<>();
        histories.forEach((id, history) -> {
            if (!history.reachable) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Members that have answered, and have not been asked in vain since. */
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
