package sandstack.capacity;

/** Why the load balancer rejects a request: when it arrives, if no server can take it, or after failed attempts. */
public enum RejectionReason {
    /** Most servers are overloaded, and the request belongs to the fraction of the load that is shed meanwhile. */
    SHED,
    /**
     * No server takes one more connection by the evidence so far, or a server has just rejected it and little capacity
     * is free on all servers together.
     */
    FULL,
    /** The remaining free capacity is reserved for classes of higher priority. */
    RESERVED,
    /** The relay has as many connections as the installation allows. */
    RELAY_LIMIT,
    /** The group has as many connections on this relay as the installation allows. */
    GROUP_LIMIT,
    /**
     * No server can take the request, and most of them are closed by a limit of the installation: on connections or on
     * set-ups per second.
     */
    SERVER_LIMIT,
    /** The request has used all its attempts, and none was accepted. */
    ATTEMPTS,
    /**
     * The retry, whose time is drawn from the next backoff interval, would start too late to succeed before the
     * deadline.
     */
    NO_TIME
}
