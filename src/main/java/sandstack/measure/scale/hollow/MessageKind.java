package sandstack.measure.scale.hollow;

/** Messages between members of a fleet: those of the {@code Membership} and those of the gossip library. */
enum MessageKind {
    /** Reachability probe of the {@code Membership}. */
    PROBE,
    /** The answer to a probe. */
    PROBE_ANSWER,
    /** A member's changed state, disseminated by gossip. */
    STATE_GOSSIP,
    /** Ping of the library's failure detector. */
    PING,
    /** Acknowledgement of a ping. */
    PING_ACK,
    /** Request to another member to send an indirect ping. */
    PING_REQUEST,
    /** The library's whole membership table, sent to synchronize it with another member's. */
    SYNC,
    /** The recipient's whole membership table, in answer to a {@link #SYNC}. */
    SYNC_ACK,
    /** A changed record of the library's membership table, disseminated by gossip. */
    RECORD_GOSSIP,
    /** Request for a member's metadata. */
    METADATA_REQUEST,
    /** A member's metadata. */
    METADATA_RESPONSE
}
