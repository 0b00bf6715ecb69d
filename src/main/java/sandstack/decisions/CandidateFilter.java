package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;
import sandstack.capacity.InstallationLimits;

/**
 * Decides which servers may take a request and summarizes the servers examined for it. The summary gives the reason if
 * no server may take the request, and whether the free capacity is reserved for classes of higher priority. Confined to
 * the thread of the load balancer. All calls but {@link #setClasses} are O(1).
 */
final class CandidateFilter {
    /** Weight of a server that may not take the request. */
    static final double EXCLUDED = 0;

    private final BalancerContext context;
    private final ServerHeadroom headroom;
    private CandidateSummary summary;

    CandidateFilter(BalancerContext context, ServerHeadroom headroom) {
        this.context = context;
        this.headroom = headroom;
        setClasses(context.settings().classes());
    }

    void setClasses(List<RequestClass> classes) {
        summary = new CandidateSummary(
                classes.stream().mapToDouble(RequestClass::priorityWeight).toArray());
    }

    /** Starts the summary of the next request. */
    void reset() {
        summary.reset();
    }

    /**
     * The weight factor of the headroom of a server, at most 1, or {@link #EXCLUDED}. There is no fallback to servers
     * whose messages are slow: a connection added there is of no use to its client, and if all servers are slow,
     * rejecting requests is what lets them recover.
     */
    double weight(TrackedRequest request, ServerState server) {
        return isPermitted(request, server) && hasCapacity(server) ? headroom.weightFactor(server) : EXCLUDED;
    }

    /** Checks the endpoint list, the earlier attempts of the request and outlier detection. */
    private boolean isPermitted(TrackedRequest request, ServerState server) {
        return server.isReady()
                && !request.hadErrorAt(server)
                && DuplicateExecutionGuard.allowsServer(request, server)
                && server.outlierDetector.isSelectable();
    }

    /**
     * Checks the limits of the installation and the capacity estimate of the server, and adds the server to the
     * summary.
     */
    private boolean hasCapacity(ServerState server) {
        boolean limitReached = InstallationLimits.isReached(
                        context.limits.maxServerConnections(), server.estimate.connectionsAndAttempts())
                || !server.setupLimiter.hasToken(context.nowMicros());
        return summary.add(server.estimate, limitReached, context.nowMicros());
    }

    /**
     * Whether the free capacity examined so far is open to the class of the request rather than reserved for others.
     */
    boolean admitsClassOf(TrackedRequest request) {
        return summary.admits(request.event.classIndex());
    }

    /** Summary of the servers examined for the latest request. */
    CandidateSummary summary() {
        return summary;
    }
}
