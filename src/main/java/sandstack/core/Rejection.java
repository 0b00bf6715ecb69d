package sandstack.core;

import sandstack.capacity.RejectionReason;

/**
 * The final answer to a command that is not served.
 *
 * @param kind what the client is told
 * @param retryAfterMillis with REFUSED: when to come again; 0 gives no advice
 * @param reason why the module refused it; null where it was not the module that did
 */
public record Rejection(Kind kind, long retryAfterMillis, RejectionReason reason) {
    /** What a nack says; each front has words of its own for them. */
    public enum Kind {
        /** Nothing has happened and trying again is harmless. */
        REJECTED,
        /** The command failed; no claim about effects. */
        FAILED,
        /** What the client sent makes no sense to this relay. */
        MALFORMED
    }

    static final Rejection FAILED = new Rejection(Kind.FAILED, 0);

    /** An answer that the module had no part in. */
    public Rejection(Kind kind, long retryAfterMillis) {
        this(kind, retryAfterMillis, null);
    }

    /** Rounds up, so that nobody comes back before the interval has ended. */
    static Rejection rejected(long retryAfterMicros, RejectionReason reason) {
        return new Rejection(Kind.REJECTED, (retryAfterMicros + 999) / 1000, reason);
    }
}
