package sandstack.core;

import sandstack.capacity.RejectionReason;

/**
 * The final answer to a request that is not served.
 *
 * @param kind the kind of answer that the client gets
 * @param retryAfterMillis with REJECTED: after what time the client should retry; 0 if unspecified
 * @param reason why the load balancer rejected the request; null if the answer is not a load balancer's rejection
 */
public record Rejection(Kind kind, long retryAfterMillis, RejectionReason reason) {
    /** The kind of answer; each front encodes it in its own protocol. */
    public enum Kind {
        /** The request was not executed, so a retry is safe. */
        REJECTED,
        /** The request failed; it may or may not have been executed. */
        FAILED,
        /** The request could not be parsed, or names a class or another value that is unknown to this relay. */
        MALFORMED
    }

    static final Rejection FAILED = new Rejection(Kind.FAILED, 0);

    /** Creates an answer that is not a rejection by the load balancer. */
    public Rejection(Kind kind, long retryAfterMillis) {
        this(kind, retryAfterMillis, null);
    }

    /** Creates the load balancer's rejection; rounds up to milliseconds, so that no client retries too early. */
    static Rejection rejected(long retryAfterMicros, RejectionReason reason) {
        return new Rejection(Kind.REJECTED, (retryAfterMicros + 999) / 1000, reason);
    }
}
