package sandstack.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.RejectionReason;

/**
 * All counters of the process, from 0. Owned by the {@link Relay} and incremented on the event loop's thread, where a
 * thing happens; O(1) each. Classes are counted by name, so that one that is removed keeps its counts.
 */
public final class RelayMetrics {
    private static final String PREFIX = "edge_proxy.";

    /** The counters of one class. */
    private static final class ClassCounters {
        long established;
        long rejected;
        long failed;
        long requestsWritten;
    }

    private final Map<String, ClassCounters> countersByClass = new LinkedHashMap<>();
    private final Map<ConnectionOutcome, Long> outcomeCounts = new EnumMap<>(ConnectionOutcome.class);
    private final Map<RejectionReason, Long> rejectionCounts = new EnumMap<>(RejectionReason.class);
    private long configsApplied;
    private long configsRejected;

    private ClassCounters counters(String className) {
        return countersByClass.computeIfAbsent(className, name -> new ClassCounters());
    }

    /** From now on these classes are shown, if only with zeros. */
    void classesOffered(Iterable<String> classNames) {
        classNames.forEach(this::counters);
    }

    /** A connection of this class was established. */
    void connectionEstablished(String className) {
        counters(className).established++;
    }

    /** A request of this class got this final answer. */
    void requestRejected(String className, Rejection.Kind kind) {
        if (kind == Rejection.Kind.REJECTED) {
            counters(className).rejected++;
        } else {
            counters(className).failed++;
        }
    }

    /** A request of this class was written completely to a feed server. */
    void requestWritten(String className) {
        counters(className).requestsWritten++;
    }

    /** The load balancer rejected a request. */
    void rejectedByBalancer(RejectionReason reason) {
        rejectionCounts.merge(reason, 1L, Long::sum);
    }

    /** An attempt or an established connection ended. */
    void attemptEnded(ConnectionOutcome outcome) {
        outcomeCounts.merge(outcome, 1L, Long::sum);
    }

    /** A configuration was applied at a reload. */
    void configApplied() {
        configsApplied++;
    }

    /** A configuration was rejected at a reload. */
    void configRejected() {
        configsRejected++;
    }

    /** A view of how many requests were rejected for each reason. */
    Map<RejectionReason, Long> rejectionCounts() {
        return Collections.unmodifiableMap(rejectionCounts);
    }

    /** A view of how many attempts and connections ended in each way. */
    Map<ConnectionOutcome, Long> outcomeCounts() {
        return Collections.unmodifiableMap(outcomeCounts);
    }

    /**
     * All metrics, a line each.
     *
     * @param active requests and connections in flight
     * @param poolSize feed servers in the list
     * @param ejected those of them that are ejected now
     */
    List<String> lines(int active, int poolSize, int ejected) {
        List<String> lines = new ArrayList<>();
        long tries = 0;
        for (Map.Entry<String, ClassCounters> entry : countersByClass.entrySet()) {
            String prefix = PREFIX + "responses." + entry.getKey() + ".";
            ClassCounters counters = entry.getValue();
            lines.add(prefix + "ok=" + counters.established);
            lines.add(prefix + "shed=" + counters.rejected);
            lines.add(prefix + "errors=" + counters.failed);
            lines.add(prefix + "tries=" + counters.requestsWritten);
            tries += counters.requestsWritten;
        }
        lines.add(PREFIX + "tries=" + tries);
        lines.add(PREFIX + "active=" + active);
        lines.add(PREFIX + "pool_size=" + poolSize);
        lines.add(PREFIX + "pool_ejected=" + ejected);
        lines.add(PREFIX + "config_applied=" + configsApplied);
        lines.add(PREFIX + "config_rejected=" + configsRejected);
        return lines;
    }
}
