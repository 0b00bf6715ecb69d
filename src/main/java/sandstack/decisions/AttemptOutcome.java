package sandstack.decisions;

/** How an attempt, an established connection or a health check ended. */
public enum AttemptOutcome {
    /** The connection was served to its end; for a health check: the server answered. */
    OK(false),
    /** The server answered with an error. */
    ERROR(false),
    /** The server rejected it before processing: it is full or draining. */
    REJECTED(true),
    /** The server did not answer in time. */
    TIMEOUT(false),
    /** No connection to the server could be made, or the attempt ended before the complete request was written. */
    CONNECT_FAILED(true),
    /**
     * The connection was reset, was closed without the protocol's closing message, or the server stopped answering on
     * it.
     */
    RESET(false),
    /** It was cancelled, the relay or the server migrated the client, or the client disconnected. */
    CANCELLED(false),
    /** It was never sent: the request had ended or had no attempts or time left, or the server was no longer known. */
    NOT_SENT(true);

    /** Whether this outcome proves that the server did not execute the attempt. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }

    /**
     * Whether the server failed the attempt, as opposed to a normal end, a cancellation or an attempt that was never
     * sent.
     */
    public boolean failed() {
        return this != OK && this != CANCELLED && this != NOT_SENT;
    }
}
