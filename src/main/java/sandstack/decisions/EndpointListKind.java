package sandstack.decisions;

/** What an update of the endpoint list contains. */
public enum EndpointListKind {
    /** All servers; one that is missing is gone. */
    FULL,
    /** Only the servers that have changed. */
    DELTA,
    /** All servers as cached before a restart; may be stale. */
    CACHED,
    /** The poll or the watch has failed; there are no entries. */
    FAILED
}
