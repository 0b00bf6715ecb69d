package sandstack.measure.scale;

/** Kinds of resources whose use is measured. */
public enum Resource {
    /** Numbers of entries, such as connections or file descriptors. */
    STATE,
    /** Messages, calls or connection attempts. */
    MESSAGES,
    /** Bytes on the network. */
    NETWORK,
    /** Processor time. */
    PROCESSOR,
    /** Memory in bytes. */
    MEMORY,
    /** Disk in bytes. */
    DISK,
    /** Delays and durations. */
    LATENCY
}
