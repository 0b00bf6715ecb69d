package sandstack.decisions;

/** State of a server in the endpoint list. */
public enum EndpointState {
    /** Takes new connections. */
    READY,
    /** Serves its connections and takes no new ones. */
    DRAINING,
    /** Removed from the list. */
    GONE
}
