package sandstack.capacity;

/** Why a request is rejected before it has reached a server. */
public enum RejectionReason {
    /** Most servers are overloaded, and a fraction of the load is shed until they are not. */
    SHED,
    /** By the evidence no server takes one more connection. */
    FULL,
    /** What little capacity is free is reserved for classes of higher priority. */
    RESERVED,
    /** The relay has as many connections as the installation allows. */
    RELAY_LIMIT,
    /** The group has as many connections as the installation allows. */
    GROUP_LIMIT,
    /** Every server has as many connections, or set-ups a second, as the installation allows. */
    SERVER_LIMIT,
    /** No attempt is left, and none of those made was accepted. */
    ATTEMPTS,
    /** The next backoff would end after the deadline. */
    NO_TIME
}
