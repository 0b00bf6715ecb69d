package sandstack.decisions;

import java.util.Optional;
import java.util.OptionalLong;
import sandstack.capacity.RejectionReason;

/**
 * Whether and when a request is attempted again, and the Retry-After of a rejected client. The back-off intervals
 * themselves are kept by {@link RetryBackoff}, what a repeated attempt may do by {@link DuplicateExecutionGuard}.
 * Stateless beside these; one thread; all calls O(1).
 */
final class RetryPolicy {
    private final BalancerContext context;
    private final RetryBackoff backoff;

    RetryPolicy(BalancerContext context, RetryBackoff backoff) {
        this.context = context;
        this.backoff = backoff;
    }

    /** Whether the client still waits and one more attempt cannot take effect twice. */
    boolean mayRetry(TrackedRequest request) {
        return context.nowMicros() < request.event.deadlineMicros()
                && DuplicateExecutionGuard.allowsAttempt(request, context.nowMicros());
    }

    /** Counts a failed placement and draws the time of the retry, uniformly over the next back-off interval. */
    long drawRetryMicros(TrackedRequest request) {
        return backoff.drawRetryMicros(backoff.recordFailure(request.clientKey));
    }

    /** Why a retry at this time is not possible; empty where it is. */
    Optional<RejectionReason> giveUpReason(TrackedRequest request, long retryMicros) {
        if (request.remainingAttempts(context.settings()) <= 0) {
            return Optional.of(RejectionReason.ATTEMPTS);
        }
        return retryMicros >= latestAttemptStartMicros(request)
                ? Optional.of(RejectionReason.NO_TIME)
                : Optional.empty();
    }

    /**
     * Where a client returns before its back-off interval has ended: the time of its first attempt, drawn uniformly
     * over the rest of the interval. Empty where it can be attempted at once, or would have no time left.
     */
    OptionalLong drawArrivalDelayEndMicros(TrackedRequest request) {
        long remainingMicros = backoff.remainingMicros(request.clientKey);
        if (remainingMicros <= 0) {
            return OptionalLong.empty();
        }
        long dueMicros = context.nowMicros() + (long) (context.uniform() * remainingMicros);
        return dueMicros < latestAttemptStartMicros(request) ? OptionalLong.of(dueMicros) : OptionalLong.empty();
    }

    /**
     * The Retry-After of a rejected client: the rest of its back-off interval. It is reported even where the settings
     * do not promise that clients honour it: those that do relieve the servers.
     */
    long retryAfterMicros(TrackedRequest request) {
        return Math.min(
                backoff.remainingMicros(request.clientKey), context.settings().maxRetryAfterMicros());
    }

    /** The last moment at which an attempt can still succeed before the deadline. */
    private long latestAttemptStartMicros(TrackedRequest request) {
        return request.event.deadlineMicros()
                - Math.max(context.settings().connectTimeoutMicros(), context.slotMicros());
    }
}
