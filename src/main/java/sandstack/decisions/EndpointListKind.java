package sandstack.decisions;

/** What a server list event brings. SAVED is the last list held before a restart; it may be old. */
public enum EndpointListKind {
    /** All servers there are; one that is missing is gone. */
    FULL,
    /** Only the servers that have changed. */
    DELTA,
    /** The last list held before a restart; it may be old. */
    CACHED,
    /** The ask or the watch has failed; there is no list. */
    FAILED
}
