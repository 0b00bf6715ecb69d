package sandstack.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests of one relay that its limits count, from arrival to end, by group where a limit asks for that. One
 * thread; each call is O(1).
 */
public final class Counted {
    private final Limits limits;
    private final Map<String, Integer> groups = new HashMap<>();
    private int all;

    /** Creates counters at 0, held against these limits. */
    public Counted(Limits limits) {
        this.limits = limits;
    }

    /** The limit that one more would pass; null where there is none. A group of null is of no group. */
    public Cause over(String group) {
        if (Limits.reached(limits.relay(), all)) {
            return Cause.RELAY_LIMIT;
        }
        return group != null && Limits.reached(limits.group(), groups.getOrDefault(group, 0))
                ? Cause.GROUP_LIMIT
                : null;
    }

    /** One request has arrived; a group of null is of no group. */
    public void entered(String group) {
        all++;
        if (group != null && limits.group() > 0) {
            groups.merge(group, 1, Integer::sum);
        }
    }

    /** One request has ended, with the group that it entered with. */
    public void left(String group) {
        all--;
        if (group != null && limits.group() > 0) {
            groups.computeIfPresent(group, (g, n) -> n > 1 ? n - 1 : null);
        }
    }
}
