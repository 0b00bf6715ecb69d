package sandstack.decisions;

/** Kind of an endpoint list update. */
public enum EndpointListKind {
    /** All servers; a server that is missing is gone. */
    FULL,
    /** Only the servers that changed. */
    DELTA,
    /** All servers, from a cache that was written before a restart of the relay; may be stale. */
    CACHED,
    /** A poll or a watch failed; there are no entries. */
    FAILED
}
