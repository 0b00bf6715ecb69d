package sandstack.decisions;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Executing the request again is harmless. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key: executing it again is harmless at servers that drop duplicates by that key;
     * see {@link DeduplicationScope}.
     */
    WITH_KEY,
    /** The request is not attempted again once an attempt may have been executed. */
    NOT_IDEMPOTENT
}
