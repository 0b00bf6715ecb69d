package sandstack.measure.scale;

/** Parts of the system to which costs are attributed. */
public enum Role {
    /** The established connections of a relay. */
    RELAY_CONNECTIONS,
    /** The load balancing of a relay. */
    RELAY_PLACEMENT,
    /** The backoff and retries of a relay. */
    RELAY_RETRIES,
    /** The membership and configuration of a relay. */
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
