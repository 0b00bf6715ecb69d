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
    public static final long ROUND = 1_000_000;

    static final long EACH = 50_000;
    /** Questions in a row that decide. */
    static final int DECIDES = 2;

    /** What the last questions to one member came to. */
    private static final class Count {
        int misses;
        int answers;
        boolean reached = true;
        boolean known;
    }

    private final RandomGenerator chance;
    private final Map<String, Count> counts = new LinkedHashMap<>();
    private final List<String> round = new ArrayList<>();
    private long roundBegan = Long.MIN_VALUE / 2;

    /** Creates a probe without members; {@code chance} draws the order of each round. */
    public ReachabilityProbe(RandomGenerator chance) {
        this.chance = chance;
    }

    /** The members there are now, without this one. */
    public void members(Collection<String> ids) {
        counts.keySet().retainAll(ids);
        round.retainAll(counts.keySet());
        ids.forEach(id -> counts.computeIfAbsent(id, i -> new Count()));
    }

    /** Who is to be asked now: of the present round, as many as are due by now. */
    public List<String> due(long now) {
        long length = Math.max(ROUND, EACH * counts.size());
        List<String> due = new ArrayList<>();
        if (now - roundBegan >= length) {
            // turns that come late leave some over: they are asked before the next round begins
            due.addAll(round);
            roundBegan = now;
            round.clear();
            round.addAll(counts.keySet());
            Collections.shuffle(round, new java.util.Random(chance.nextLong()));
        }
        int left = (int) (counts.size() * (length - (now - roundBegan)) / length);
        while (round.size() > left) {
            due.add(round.remove(round.size() - 1));
        }
        return due;
    }

    /** The member answered; returns whether that changes what is known. */
    public boolean answered(String id) {
        Count c = counts.get(id);
        if (c == null) {
            return false;
        }
        boolean first = !c.known;
        c.known = true;
        c.misses = 0;
        c.answers++;
        if (c.reached || c.answers < DECIDES) {
            return first;
        }
        c.reached = true;
        return true;
    }

    /** A question had no answer in time; returns whether that changes what is known. */
    public boolean missed(String id) {
        Count c = counts.get(id);
        if (c == null) {
            return false;
        }
        c.answers = 0;
        c.misses++;
        if (!c.reached || c.misses < DECIDES) {
            return false;
        }
        c.known = true;
        c.reached = false;
        return true;
    }

    /** This process did not run for a while: what stayed unanswered meanwhile says nothing of others. */
    public void slept() {
        counts.values().forEach(c -> c.misses = 0);
    }

    /** Members that this one does not reach. */
    public Set<String> unreached() {
        Set<String> ids = new HashSet<>();
        counts.forEach((id, c) -> {
            if (!c.reached) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Members that have answered, and have not been asked in vain since. */
    public Set<String> reached() {
        Set<String> ids = new HashSet<>();
        counts.forEach((id, c) -> {
            if (c.known && c.reached) {
                ids.add(id);
            }
        });
        return ids;
    }
}
