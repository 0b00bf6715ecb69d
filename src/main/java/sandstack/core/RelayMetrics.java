package sandstack.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.RejectionReason;

/**
 * The process's counters, which start at 0. Owned by the {@link Relay} and used on the event loop's thread only; each
 * increment takes O(1). Classes are counted by name, so that a class that a reload removes keeps its counts.
 */
public final class RelayMetrics {
    private static final String PREFIX = "edge_proxy.";

    /** The counters of one request class. */
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

    /** Includes these classes in {@link #lines} from now on, even while all their counters are 0. */
    void classesOffered(Iterable<String> classNames) {
        classNames.forEach(this::counters);
    }

    /** Counts an established connection. */
    void connectionEstablished(String className) {
        counters(className).established++;
    }

    /** Counts a final answer to a request that was not served. */
    void requestNotServed(String className, Rejection.Kind kind) {
        if (kind == Rejection.Kind.REJECTED) {
            counters(className).rejected++;
        } else {
            counters(className).failed++;
        }
    }

    /** Counts a request that was written completely to a feed server; a retried request counts each time. */
    void requestWritten(String className) {
        counters(className).requestsWritten++;
    }

    /** Counts a rejection by the load balancer. */
    void rejectedByBalancer(RejectionReason reason) {
        rejectionCounts.merge(reason, 1L, Long::sum);
    }

    /** Counts the end of an attempt or of an established connection. */
    void attemptEnded(ConnectionOutcome outcome) {
        outcomeCounts.merge(outcome, 1L, Long::sum);
    }

    /** Counts a reloaded configuration that was applied. */
    void configApplied() {
        configsApplied++;
    }

    /** Counts a reloaded configuration that was rejected. */
    void configRejected() {
        configsRejected++;
    }

    /** A live view of the number of requests rejected by the load balancer, by reason. */
    Map<RejectionReason, Long> rejectionCounts() {
        return Collections.unmodifiableMap(rejectionCounts);
    }

    /** A live view of the number of ended attempts and connections, by outcome. */
    Map<ConnectionOutcome, Long> outcomeCounts() {
        return Collections.unmodifiableMap(outcomeCounts);
    }

    /**
     * Returns all metrics as {@code name=value} lines: the counters of each class, then those of the process.
     *
     * @param active number of requests and connections in flight
     * @param poolSize number of listed feed servers
     * @param closedServers number of listed feed servers that are
     *     {@linkplain sandstack.decisions.LoadBalancer#isClosedToNewRequests closed to new requests}; a server that is
     *     full only by its learned limits does not count
     */
    List<String> lines(int active, int poolSize, int closedServers) {
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
        lines.add(PREFIX + "pool_ejected=" + closedServers);
        lines.add(PREFIX + "config_applied=" + configsApplied);
        lines.add(PREFIX + "config_rejected=" + configsRejected);
        return lines;
    }
}
