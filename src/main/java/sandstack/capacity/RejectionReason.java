package sandstack.capacity;

/** Why the load balancer rejects a request, either when it arrives or after failed attempts. */
public enum RejectionReason {
    /** Most servers are or were recently overloaded, and the client belongs to the fraction that is shed. */
    SHED,
    /**
     * By the evidence so far, every server is full, or a server has just rejected the request and all servers together
     * have little free capacity.
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
