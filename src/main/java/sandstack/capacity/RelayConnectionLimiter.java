package sandstack.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests of one relay, in total and by group, and compares the counts with the limits of the installation.
 * Each request counts from its arrival to its end. Groups are counted only if they are limited. Used by one thread;
 * every call is O(1).
 */
public final class RelayConnectionLimiter {
    private final InstallationLimits limits;
    private final Map<String, Integer> countByGroup = new HashMap<>();
    private int totalCount;

    /** Creates a limiter without requests. */
    public RelayConnectionLimiter(InstallationLimits limits) {
        this.limits = limits;
    }

    /**
     * The limit that one more request would exceed; null if it would exceed none.
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
     * Counts a request that has arrived.
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
     * Stops counting a request that has ended.
     *
     * @param group the group that the request arrived with
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
