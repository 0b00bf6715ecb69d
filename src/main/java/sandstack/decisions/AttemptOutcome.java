package sandstack.decisions;

/** How an attempt, a standing connection or a probe ended. */
public enum AttemptOutcome {
    /** Served to its end; for a probe: answered. */
    OK(false),
    /** The server gave an error. */
    ERROR(false),
    /** Turned away unseen: no room, or draining. */
    REJECTED(true),
    /** No answer in time. */
    TIMEOUT(false),
    /** No connection could be made. */
    CONNECT_FAILED(true),
    /** The connection broke. */
    RESET(false),
    /** Called off, or the client left. */
    CANCELLED(false),
    /** Never sent: the request had ended or had no attempt left. */
    NOT_SENT(true);

    /** Whether this outcome proves that the attempt never ran. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }

    /** Whether the attempt failed at its server. */
    public boolean failed() {
        return this != OK && this != CANCELLED && this != NOT_SENT;
    }
}
