package sandstack.measure.scale;

/** The part of the system that bears a cost. */
public enum Role {
    /** A relay, for the connections that it holds. */
    RELAY_CONNECTIONS,
    /** A relay, for deciding where connections go. */
    RELAY_PLACEMENT,
    /** A relay, for back-offs and retries. */
    RELAY_RETRIES,
    /** A relay, for membership and configuration. */
    RELAY_CONTROL,
    /** One of the machines set aside for control. */
    CONTROL_MACHINE,
    /** The discovery service and the list that it tells. */
    DISCOVERY,
    /** Whatever finds the shards of a topic and their listeners. */
    SHARD_DIRECTORY,
    /** The tools that operators use. */
    OPERATOR_TOOLS
}
