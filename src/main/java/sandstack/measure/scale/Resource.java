package sandstack.measure.scale;

/** What a cost is paid in. */
public enum Resource {
    /** Entries that are kept. */
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
    /** Time until something holds everywhere. */
    LATENCY
}
