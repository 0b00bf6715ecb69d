package sandstack.core;

import sandstack.decisions.AttemptOutcome;

/**
 * The ways in which an attempt or an established connection can end, each with the outcome that is reported to the load
 * balancer.
 */
public enum ConnectionOutcome {
    /** The feed server closed the connection with the protocol's closing message. */
    SERVED(AttemptOutcome.OK),
    /**
     * The feed server sent the client a migration message, as it does while it drains. The request may have been
     * executed; this is not a failure of the server.
     */
    SERVER_DRAINING(AttemptOutcome.CANCELLED),
    /**
     * The client disconnected or ended its output, before or after the connection was established, or it got its final
     * answer while the attempt was in flight.
     */
    CLIENT_LEFT(AttemptOutcome.CANCELLED),
    /** The relay migrated the client. */
    MIGRATED(AttemptOutcome.CANCELLED),
    /** The feed server answered with an error, or opened what it was not asked for. */
    SERVER_ERROR(AttemptOutcome.ERROR),
    /** The feed server rejected the request without executing it. */
    REJECTED(AttemptOutcome.REJECTED),
    /** The connection was not opened, or it failed or was cancelled before the complete request was written. */
    NOT_CONNECTED(AttemptOutcome.CONNECT_FAILED),
    /**
     * The feed server closed the connection before it was established or without a closing message, or a protocol error
     * ended the connection.
     */
    CLOSED_EARLY(AttemptOutcome.RESET),
    /** The connection to the feed server was reset. */
    RESET(AttemptOutcome.RESET),
    /** The feed server stopped answering on an open connection. */
    UNRESPONSIVE(AttemptOutcome.RESET),
    /** The complete request was written, but no answer arrived within the timeout. */
    TIMED_OUT(AttemptOutcome.TIMEOUT),
    /**
     * Nothing was sent: the request had ended, its deadline had passed, it had no attempts left or another one in
     * flight, or the feed server was draining or no longer listed.
     */
    NOT_SENT(AttemptOutcome.NOT_SENT);

    private final AttemptOutcome outcome;

    ConnectionOutcome(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome that is reported to the load balancer; several of these constants share one. */
    public AttemptOutcome outcome() {
        return outcome;
    }
}
