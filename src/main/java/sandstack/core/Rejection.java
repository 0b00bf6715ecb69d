package sandstack.core;

import sandstack.capacity.RejectionReason;

/**
 * The final answer to a request that is not served.
 *
 * @param kind what the client is notified of
 * @param retryAfterMillis with REJECTED: when the client should retry; 0 gives no advice
 * @param reason why the load balancer rejected it; null where something else did
 */
public record Rejection(Kind kind, long retryAfterMillis, RejectionReason reason) {
    /** The kind of the answer; each front has its own form on the wire. */
    public enum Kind {
        /** The request was not executed, and a retry is harmless. */
        REJECTED,
        /** The request failed; no claim about effects. */
        FAILED,
        /** The request could not be read or names what this relay does not know. */
        MALFORMED
    }

    static final Rejection FAILED = new Rejection(Kind.FAILED, 0);

    /** An answer without a decision of the load balancer. */
    public Rejection(Kind kind, long retryAfterMillis) {
        this(kind, retryAfterMillis, null);
    }

    /** Rounds up, so that no client retries before the interval has ended. */
    static Rejection rejected(long retryAfterMicros, RejectionReason reason) {
        return new Rejection(Kind.REJECTED, (retryAfterMicros + 999) / 1000, reason);
    }
}
