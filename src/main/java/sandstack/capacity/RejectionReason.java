package sandstack.capacity;

/** Why a request is refused. */
public enum RejectionReason {
    /** Most servers are late, and a part of the load stays away until they are not. */
    SHED,
    /** By the evidence no server takes one more. */
    FULL,
    /** What little fits is kept for classes of more worth. */
    RESERVED,
    /** The relay holds as many as the installation allows. */
    RELAY_LIMIT,
    /** The group has as many as the installation allows. */
    GROUP_LIMIT,
    /** Every server has as many, or as many set-ups a second, as the installation allows. */
    SERVER_LIMIT,
    /** No attempt is left, and none of those made was taken. */
    ATTEMPTS,
    /** The next interval would outlast the time that is left. */
    NO_TIME
}
