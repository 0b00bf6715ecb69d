package sandstack.core;

import sandstack.decisions.AttemptOutcome;

/**
 * Every way in which an attempt or an established connection can end, and the outcome that the load balancer counts.
 */
public enum ConnectionOutcome {
    /** The feed server closed the connection in order. */
    SERVED(AttemptOutcome.OK),
    /** The feed server sent its client away, as it does while it drains: may have been executed, and is no fault. */
    SERVER_DRAINING(AttemptOutcome.CANCELLED),
    /** The client ended it, or left before it was established. */
    CLIENT_LEFT(AttemptOutcome.CANCELLED),
    /** The relay told the client to migrate. */
    MIGRATED(AttemptOutcome.CANCELLED),
    /** The feed server answered with an error. */
    SERVER_ERROR(AttemptOutcome.ERROR),
    /** The feed server rejected the request without executing it. */
    REJECTED(AttemptOutcome.REJECTED),
    /** No connection came up, or it broke or was cancelled before the complete request was written. */
    NOT_CONNECTED(AttemptOutcome.CONNECT_FAILED),
    /** The connection was closed without a message. */
    CLOSED_EARLY(AttemptOutcome.RESET),
    /** The connection was reset. */
    RESET(AttemptOutcome.RESET),
    /** An established connection on which the feed server no longer answers. */
    UNRESPONSIVE(AttemptOutcome.RESET),
    /** The complete request was written, and no answer came within the timeout. */
    TIMED_OUT(AttemptOutcome.TIMEOUT),
    /** Never sent: the client had left, its deadline had passed or the server has no address. */
    NOT_SENT(AttemptOutcome.NOT_SENT);

    private final AttemptOutcome outcome;

    ConnectionOutcome(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome that the load balancer counts. */
    public AttemptOutcome outcome() {
        return outcome;
    }
}
