package sandstack.measure.scale;

/** Kinds of costs. */
public enum Resource {
    /** Entries in memory. */
    STATE,
    /** Messages sent and received. */
    MESSAGES,
    /** Bytes on the network. */
    NETWORK,
    /** Processor time. */
    PROCESSOR,
    /** Memory in bytes. */
    MEMORY,
    /** Disk in bytes. */
    DISK,
    /** Time until a change is complete. */
    LATENCY
}
