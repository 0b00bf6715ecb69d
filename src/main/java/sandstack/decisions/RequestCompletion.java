package sandstack.decisions;

import sandstack.capacity.RejectionReason;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;

/**
 * The final answer of a request that gets no connection: rejected where a retry by the client is known to be harmless,
 * else failed, which claims nothing. One thread; all calls O(1).
 */
final class RequestCompletion {
    private final BalancerContext context;
    private final RequestTable requests;
    private final RetryBackoff retryBackoff;
    private final RetryPolicy retryPolicy;

    RequestCompletion(
            BalancerContext context, RequestTable requests, RetryBackoff retryBackoff, RetryPolicy retryPolicy) {
        this.context = context;
        this.requests = requests;
        this.retryBackoff = retryBackoff;
        this.retryPolicy = retryPolicy;
    }

    /** Rejects with the rest of the client's back-off interval as Retry-After. */
    void reject(TrackedRequest request, RejectionReason reason) {
        if (!DuplicateExecutionGuard.allowsRejection(request)) {
            fail(request);
            return;
        }
        context.addAction(new Reject(request.event.requestId(), retryPolicy.retryAfterMicros(request), reason));
        requests.remove(request);
    }

    /** Rejects without a retry of our own: counts as a failed placement, and the client waits out the next interval. */
    void rejectWithBackoff(TrackedRequest request, RejectionReason reason) {
        retryBackoff.recordFailure(request.clientKey);
        reject(request, reason);
    }

    void fail(TrackedRequest request) {
        context.addAction(new Fail(request.event.requestId()));
        requests.remove(request);
    }
}
