package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;
import sandstack.capacity.InstallationLimits;

/**
 * Which servers may take a request at all, and a summary of those seen for one request: it tells why none may, and
 * whether the free capacity is reserved for classes of higher priority. One thread; O(1).
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
     * The weight factor that a server's headroom leaves it, up to 1, or {@link #EXCLUDED}. There is no fallback to
     * servers whose messages are slow: a connection added there serves nobody, and where all are slow, rejecting is
     * what lets them recover.
     */
    double weight(TrackedRequest request, ServerState server) {
        return isPermitted(request, server) && hasCapacity(server) ? headroom.weightFactor(server) : EXCLUDED;
    }

    /** By the endpoint list, the request's earlier attempts and outlier detection. */
    private boolean isPermitted(TrackedRequest request, ServerState server) {
        return server.isReady()
                && !request.hadErrorAt(server)
                && DuplicateExecutionGuard.allowsServer(request, server)
                && server.outlierDetector.isSelectable();
    }

    /** By the limits of the installation and the estimate of the server's capacity. */
    private boolean hasCapacity(ServerState server) {
        boolean limitReached = InstallationLimits.isReached(
                        context.limits.maxServerConnections(), server.estimate.connectionsAndAttempts())
                || !server.setupLimiter.hasToken(context.nowMicros());
        return summary.add(server.estimate, limitReached, context.nowMicros());
    }

    /** Whether the capacity seen so far is open to the request's class, rather than reserved for others. */
    boolean admitsClassOf(TrackedRequest request) {
        return summary.admits(request.event.classIndex());
    }

    /** The servers seen for the latest request. */
    CandidateSummary summary() {
        return summary;
    }
}
