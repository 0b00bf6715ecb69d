package sandstack.decisions;

/** State of a server according to the endpoint list. */
public enum EndpointState {
    /** Accepts new connections. */
    READY,
    /** Serves its connections and accepts no new ones. */
    DRAINING,
    /** Removed from the list. */
    GONE
}
