package sandstack.capacity;

/** Why the load balancer rejects a request: on its arrival, where no server can take it, or after failed attempts. */
public enum RejectionReason {
    /** Most servers are overloaded, and a fraction of the load is shed until they are not. */
    SHED,
    /** By the evidence no server takes one more connection, or one has just rejected it and little is free anywhere. */
    FULL,
    /** What little capacity is free is reserved for classes of higher priority. */
    RESERVED,
    /** The relay has as many connections as the installation allows. */
    RELAY_LIMIT,
    /** The group has as many connections as the installation allows. */
    GROUP_LIMIT,
    /** No server can take it, and for most that is a limit of the installation: connections, or set-ups a second. */
    SERVER_LIMIT,
    /** No attempt is left, and none of those made was accepted. */
    ATTEMPTS,
    /** The retry, drawn from the next backoff interval, would start too late to succeed before the deadline. */
    NO_TIME
}
