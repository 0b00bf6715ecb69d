package sandstack.measure.scale;

/** Parts of the system to which costs are attributed. */
public enum Role {
    /** A relay, for the connections that it holds. */
    RELAY_CONNECTIONS,
    /** A relay, for load balancing. */
    RELAY_PLACEMENT,
    /** A relay, for backoff and retries. */
    RELAY_RETRIES,
    /** A relay, for membership and configuration. */
    RELAY_CONTROL,
    /** A control machine. */
    CONTROL_MACHINE,
    /** The discovery service with its endpoint list. */
    DISCOVERY,
    /** The directory of shards and their listeners. */
    SHARD_DIRECTORY,
    /** The tools that operators use. */
    OPERATOR_TOOLS
}
