package sandstack.decisions;

/** What repeating a request does. */
public enum Idempotency {
    /** Repeats do no harm. */
    IDEMPOTENT,
    /** Repeats do no harm at servers that drop them by the request's key; see {@link DeduplicationScope}. */
    WITH_KEY,
    /** A repeat may do harm: never sent again once an attempt may have run. */
    NOT_IDEMPOTENT
}
