package sandstack.core;

import sandstack.capacity.RejectionReason;

/**
 * The final answer to a command that is not served.
 *
 * @param kind what the client is told
 * @param comeBackMillis with REFUSED: when to come again; 0 gives no advice
 * @param cause why the module refused it; null where it was not the module that did
 */
public record Refusal(Kind kind, long comeBackMillis, RejectionReason cause) {
    /** What a nack says; each front has words of its own for them. */
    public enum Kind {
        /** Nothing has happened and trying again is harmless. */
        REFUSED,
        /** The command failed; no claim about effects. */
        FAILED,
        /** What the client sent makes no sense to this relay. */
        BAD_INPUT
    }

    static final Refusal FAILED = new Refusal(Kind.FAILED, 0);

    /** An answer that the module had no part in. */
    public Refusal(Kind kind, long comeBackMillis) {
        this(kind, comeBackMillis, null);
    }

    /** Rounds up, so that nobody comes back before the interval has ended. */
    static Refusal refused(long comeBackMicros, RejectionReason cause) {
        return new Refusal(Kind.REFUSED, (comeBackMicros + 999) / 1000, cause);
    }
}
