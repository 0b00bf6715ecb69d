package sandstack.decisions;

import sandstack.capacity.RejectionReason;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;

/**
 * Gives the final answer to a request that gets no connection: rejected if a retry by the client is known to be
 * harmless, otherwise failed, which leaves open whether the request was executed. Confined to the thread of the load
 * balancer. All calls are O(1).
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

    /**
     * Rejects a request with the rest of the client's backoff interval as Retry-After, or fails it if a retry by the
     * client might execute it a second time.
     */
    void reject(TrackedRequest request, RejectionReason reason) {
        if (!DuplicateExecutionGuard.allowsRejection(request)) {
            fail(request);
            return;
        }
        context.addAction(new Reject(request.event.requestId(), retryPolicy.retryAfterMicros(request), reason));
        requests.remove(request);
    }

    /**
     * Rejects a request that this relay does not retry. Counts as a failed placement, so that the Retry-After includes
     * the client's next backoff interval.
     */
    void rejectWithBackoff(TrackedRequest request, RejectionReason reason) {
        retryBackoff.recordFailure(request.clientKey);
        reject(request, reason);
    }

    void fail(TrackedRequest request) {
        context.addAction(new Fail(request.event.requestId()));
        requests.remove(request);
    }
}
