package sandstack.decisions;

/** State of a server in the list: takes work, finishes what it has, or taken away. */
public enum EndpointState {
    /** Takes new work. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Taken away. */
    GONE
}
