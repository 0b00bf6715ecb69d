package sandstack.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests of one relay that its limits count, from arrival to end, by group where a limit asks for that. One
 * thread; each call is O(1).
 */
public final class ConnectionLimiter {
    private final InstallationLimits limits;
    private final Map<String, Integer> countByGroup = new HashMap<>();
    private int totalCount;

    /** Creates counters at 0, held against these limits. */
    public ConnectionLimiter(InstallationLimits limits) {
        this.limits = limits;
    }

    /** The limit that one more would pass; null where there is none. A group of null is of no group. */
    public RejectionReason reachedLimit(String group) {
        if (InstallationLimits.isReached(limits.maxRelayConnections(), totalCount)) {
            return RejectionReason.RELAY_LIMIT;
        }
        return group != null
                        && InstallationLimits.isReached(
                                limits.maxGroupConnections(), countByGroup.getOrDefault(group, 0))
                ? RejectionReason.GROUP_LIMIT
                : null;
    }

    /** One request has arrived; a group of null is of no group. */
    public void onArrived(String group) {
        totalCount++;
        if (group != null && limits.maxGroupConnections() > 0) {
            countByGroup.merge(group, 1, Integer::sum);
        }
    }

    /** One request has ended, with the group that it entered with. */
    public void onFinished(String group) {
        totalCount--;
        if (group != null && limits.maxGroupConnections() > 0) {
            countByGroup.computeIfPresent(group, (g, n) -> n > 1 ? n - 1 : null);
        }
    }
}
