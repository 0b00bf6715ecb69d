package sandstack.measure.scale.hollow;

/** Messages between members of a fleet. */
enum MessageKind {
    /** Reachability probe of the membership. */
    PROBE,
    /** Its answer. */
    PROBE_ANSWER,
    /** A member's changed state, forwarded by gossip. */
    STATE_GOSSIP,
    /** The library's ping. */
    PING,
    /** Its acknowledgement. */
    PING_ACK,
    /** The library's request that another pings. */
    PING_REQUEST,
    /** The library's table. */
    SYNC,
    /** The table with which it is answered. */
    SYNC_ACK,
    /** A changed record of the library's table, forwarded by gossip. */
    RECORD_GOSSIP,
    /** Asks a member who it is. */
    METADATA_REQUEST,
    /** Its answer. */
    METADATA_RESPONSE
}
