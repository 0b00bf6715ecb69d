package sandstack.core;

/**
 * The client's side of one command. A front extends it with its wire; the relay keeps here what it knows of
 * the command from its arrival to its end.
 */
public abstract class ClientSession {
    String id;
    ClientRequest request;
    long deadlineMicros;
    ConnectionAttempt attempt;
    int attemptCount;
    int maxAttempts;
    boolean finished;
    DeadlineScheduler.Deadline answerTimer;

    /** Begins an execution: connects to its feed server and passes the request on. */
    protected abstract ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt);

    /**
     * Takes what the client's side has said or done by now, where the front can tell at once. One that has left is
     * reported as such before this returns: nothing begins for a client that has gone.
     */
    protected void checkConnected() {}

    /** Gives the final answer of a command that is not served, and ends the connection. */
    protected abstract void sendRejection(Rejection rejection);

    /** The command that the client sent; null before it has come. */
    public final ClientRequest request() {
        return request;
    }

    /** The execution that is out or standing; null where there is none. */
    public final ConnectionAttempt attempt() {
        return attempt;
    }
}
