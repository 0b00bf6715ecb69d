package sandstack.decisions;

import java.util.Optional;
import java.util.OptionalLong;
import sandstack.capacity.RejectionReason;

/**
 * Decides whether and when a request is attempted again, and the Retry-After of a rejected client. {@link RetryBackoff}
 * holds the backoff intervals, and {@link DuplicateExecutionGuard} restricts repeated attempts. Stateless itself;
 * confined to the thread of the load balancer. All calls are O(1).
 */
final class RetryPolicy {
    private final BalancerContext context;
    private final RetryBackoff backoff;

    RetryPolicy(BalancerContext context, RetryBackoff backoff) {
        this.context = context;
        this.backoff = backoff;
    }

    /**
     * Whether the deadline has not passed and one more attempt cannot make the request take effect twice. The first
     * attempt is checked too. {@link #giveUpReason} checks the number of attempts.
     */
    boolean mayAttempt(TrackedRequest request) {
        return context.nowMicros() < request.event.deadlineMicros()
                && DuplicateExecutionGuard.allowsAttempt(request, context.nowMicros());
    }

    /** Records a failed placement and draws the time of the retry, uniformly from the next backoff interval. */
    long drawRetryMicros(TrackedRequest request) {
        return backoff.drawRetryMicros(backoff.recordFailure(request.clientKey));
    }

    /** Why the request cannot be retried at {@code retryMicros}; empty if it can. */
    Optional<RejectionReason> giveUpReason(TrackedRequest request, long retryMicros) {
        if (request.remainingAttempts(context.settings()) <= 0) {
            return Optional.of(RejectionReason.ATTEMPTS);
        }
        return retryMicros >= latestAttemptStartMicros(request)
                ? Optional.of(RejectionReason.NO_TIME)
                : Optional.empty();
    }

    /**
     * Draws the time of the first attempt for a client that returns before its backoff interval has ended, uniformly
     * from the rest of the interval. Empty if no interval is running, or if an attempt at that time would be too late
     * for the deadline: the request is then placed immediately.
     */
    OptionalLong drawFirstAttemptMicros(TrackedRequest request) {
        long remainingMicros = backoff.remainingMicros(request.clientKey);
        if (remainingMicros <= 0) {
            return OptionalLong.empty();
        }
        long dueMicros = context.nowMicros() + (long) (context.uniform() * remainingMicros);
        return dueMicros < latestAttemptStartMicros(request) ? OptionalLong.of(dueMicros) : OptionalLong.empty();
    }

    /**
     * The Retry-After of a rejected client: the rest of its backoff interval, limited by the settings. It is sent even
     * if the settings do not promise that clients honour it, since each client that does relieves the servers.
     */
    long retryAfterMicros(TrackedRequest request) {
        return Math.min(
                backoff.remainingMicros(request.clientKey), context.settings().maxRetryAfterMicros());
    }

    /** The latest start of an attempt that can still succeed before the deadline. */
    private long latestAttemptStartMicros(TrackedRequest request) {
        return request.event.deadlineMicros()
                - Math.max(context.settings().connectTimeoutMicros(), context.slotMicros());
    }
}
