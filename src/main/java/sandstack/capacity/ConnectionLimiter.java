package sandstack.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests of one relay from arrival to end, in all and by group, and holds the counts against the limits of
 * the installation. Groups are counted only where they are limited. Used by one thread; every call is O(1).
 */
public final class ConnectionLimiter {
    private final InstallationLimits limits;
    private final Map<String, Integer> countByGroup = new HashMap<>();
    private int totalCount;

    /** Creates a limiter that has counted nothing. */
    public ConnectionLimiter(InstallationLimits limits) {
        this.limits = limits;
    }

    /**
     * The limit that one more request would exceed; null where there is none.
     *
     * @param group null for a request without a group
     */
    public RejectionReason reachedLimit(String group) {
        if (InstallationLimits.isReached(limits.maxRelayConnections(), totalCount)) {
            return RejectionReason.RELAY_LIMIT;
        }
        if (group == null) {
            return null;
        }
        int groupCount = countByGroup.getOrDefault(group, 0);
        return InstallationLimits.isReached(limits.maxGroupConnections(), groupCount)
                ? RejectionReason.GROUP_LIMIT
                : null;
    }

    /**
     * A request has arrived.
     *
     * @param group null for a request without a group
     */
    public void onArrived(String group) {
        totalCount++;
        if (isCounted(group)) {
            countByGroup.merge(group, 1, Integer::sum);
        }
    }

    /**
     * A request has ended.
     *
     * @param group the one that it arrived with
     */
    public void onFinished(String group) {
        totalCount--;
        if (isCounted(group)) {
            countByGroup.computeIfPresent(group, (name, count) -> count > 1 ? count - 1 : null);
        }
    }

    private boolean isCounted(String group) {
        return group != null && limits.maxGroupConnections() > 0;
    }
}
