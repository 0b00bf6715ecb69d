package sandstack.core;

import sandstack.decisions.AttemptOutcome;

/** Every way in which an execution, standing or not, can end, and what each is to the module. */
public enum ConnectionOutcome {
    /** The feed server said good-bye: served to its end. */
    SERVED(AttemptOutcome.OK),
    /** The feed server sent its client away, as it does while it drains. */
    SERVER_DRAINING(AttemptOutcome.CANCELLED),
    /** The client ended it, or left before it stood. */
    CLIENT_LEFT(AttemptOutcome.CANCELLED),
    /** The relay told the client to move. */
    MIGRATED(AttemptOutcome.CANCELLED),
    /** The feed server gave an error. */
    SERVER_ERROR(AttemptOutcome.ERROR),
    /** The feed server turned it away unseen. */
    REJECTED(AttemptOutcome.REJECTED),
    /** No connection came up, or it broke or was given up before the whole request was written. */
    NOT_CONNECTED(AttemptOutcome.CONNECT_FAILED),
    /** The connection ended without a word. */
    CLOSED_EARLY(AttemptOutcome.RESET),
    /** The connection was reset. */
    RESET(AttemptOutcome.RESET),
    /** A standing connection on which the feed server no longer answers. */
    UNRESPONSIVE(AttemptOutcome.RESET),
    /** The whole request was written, and no answer came while the relay was willing to wait. */
    TIMED_OUT(AttemptOutcome.TIMEOUT),
    /** Never sent: the client had gone, its time was up or the server has no address. */
    NOT_SENT(AttemptOutcome.NOT_SENT);

    private final AttemptOutcome outcome;

    ConnectionOutcome(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** What the module is told. */
    public AttemptOutcome outcome() {
        return outcome;
    }
}
