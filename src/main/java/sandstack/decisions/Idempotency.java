package sandstack.decisions;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Idempotent: executing it again is harmless. */
    IDEMPOTENT,
    /** Has an idempotency key: harmless at servers that drop duplicates by it; see {@link DeduplicationScope}. */
    WITH_KEY,
    /** Not idempotent: not attempted again once an attempt may have been executed. */
    NOT_IDEMPOTENT
}
