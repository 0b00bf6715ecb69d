package sandstack.measure.scale.hollow;

/** Messages between members of a fleet. */
enum MessageKind {
    /** Reachability probe of the membership. */
    PROBE,
    /** The answer to a probe. */
    PROBE_ANSWER,
    /** A member's changed state, disseminated by gossip. */
    STATE_GOSSIP,
    /** Ping of the library. */
    PING,
    /** Acknowledgement of a ping. */
    PING_ACK,
    /** Request for an indirect ping. */
    PING_REQUEST,
    /** Membership table of the library. */
    SYNC,
    /** Membership table in answer to one. */
    SYNC_ACK,
    /** A changed record of the membership table, disseminated by gossip. */
    RECORD_GOSSIP,
    /** Request for a member's metadata. */
    METADATA_REQUEST,
    /** A member's metadata. */
    METADATA_RESPONSE
}
