package sandstack.core;

import sandstack.decisions.Decisions.Outcome;

/** Every way in which an execution, standing or not, can end, and what each is to the module. */
public enum ConnectionOutcome {
    /** The feed server said good-bye: served to its end. */
    SERVED(Outcome.OK),
    /** The feed server sent its client away, as it does while it drains. */
    SENT_AWAY(Outcome.CANCELLED),
    /** The client ended it, or left before it stood. */
    CLIENT_LEFT(Outcome.CANCELLED),
    /** The relay told the client to move. */
    MOVED(Outcome.CANCELLED),
    /** The feed server gave an error. */
    SERVER_ERROR(Outcome.ERROR),
    /** The feed server turned it away unseen. */
    TURNED_AWAY(Outcome.FULL),
    /** No connection came up, or it broke or was given up before the whole request was written. */
    NOT_CONNECTED(Outcome.CONNECT_FAILED),
    /** The connection ended without a word. */
    ENDED_EARLY(Outcome.RESET),
    /** The connection was reset. */
    RESET(Outcome.RESET),
    /** A standing connection on which the feed server no longer answers. */
    SILENT(Outcome.RESET),
    /** The whole request was written, and no answer came while the relay was willing to wait. */
    OUT_OF_TIME(Outcome.TIMEOUT),
    /** Never sent: the client had gone, its time was up or the server has no address. */
    NEVER_SENT(Outcome.MOOT);

    private final Outcome outcome;

    ConnectionOutcome(Outcome outcome) {
        this.outcome = outcome;
    }

    /** What the module is told. */
    public Outcome outcome() {
        return outcome;
    }
}
