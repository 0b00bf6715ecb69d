package sandstack.decisions;

/** How an attempt, an established connection or a health check ended. */
public enum AttemptOutcome {
    /** Served to its end; for a health check: answered. */
    OK(false),
    /** The server answered with an error. */
    ERROR(false),
    /** Rejected before it was processed: the server is full or draining. */
    REJECTED(true),
    /** No answer in time. */
    TIMEOUT(false),
    /** No connection could be made. */
    CONNECT_FAILED(true),
    /** The connection broke. */
    RESET(false),
    /** Cancelled, or the client disconnected. */
    CANCELLED(false),
    /** Never sent: the request had ended or had no attempts left. */
    NOT_SENT(true);

    /** Whether this outcome proves that the server did not execute the attempt. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }

    /** Whether the attempt failed at its server. */
    public boolean failed() {
        return this != OK && this != CANCELLED && this != NOT_SENT;
    }
}
