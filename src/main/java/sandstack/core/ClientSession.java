package sandstack.core;

/**
 * The client's side of one request, from its arrival to its end. A front extends it with its wire; the package's own
 * classes change its state through the methods here. Used on the event loop's thread only.
 */
public abstract class ClientSession {
    /** Null before the relay has accepted the request. */
    private String id;

    private ClientRequest request;
    private long deadlineMicros;
    private int maxAttempts;
    private int attemptCount;
    /** Null while no attempt is in flight and no connection is established. */
    private ConnectionAttempt attempt;

    private boolean finished;
    /** Null where the request needs no answer of its own: it was adopted. */
    private DeadlineScheduler.Deadline answerTimer;

    /** Starts an attempt: connects to its feed server and forwards the request. */
    protected abstract ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt);

    /**
     * Reads what the client's side has sent or done by now, where the front can do so at once. A client that has left
     * is reported as such before this returns: nothing is started for one that has gone.
     */
    protected void checkConnected() {}

    /** Sends the final answer of a request that is not served, and ends the connection. */
    protected abstract void sendRejection(Rejection rejection);

    /** The request that the client sent; null before it has come. */
    public final ClientRequest request() {
        return request;
    }

    /** The attempt in flight or the established connection; null where there is neither. */
    public final ConnectionAttempt attempt() {
        return attempt;
    }

    final void receive(ClientRequest received) {
        request = received;
    }

    final void register(String requestId, int attemptLimit, long requestDeadlineMicros) {
        id = requestId;
        maxAttempts = attemptLimit;
        deadlineMicros = requestDeadlineMicros;
    }

    final boolean isRegistered() {
        return id != null;
    }

    final String id() {
        return id;
    }

    final long deadlineMicros() {
        return deadlineMicros;
    }

    final void setAnswerTimer(DeadlineScheduler.Deadline timer) {
        answerTimer = timer;
    }

    final void cancelAnswerTimer() {
        if (answerTimer != null) {
            answerTimer.cancel();
        }
    }

    /** How many attempts have been started or given up unsent. */
    final int attemptCount() {
        return attemptCount;
    }

    /** Counts an attempt; returns its number, from 0. */
    final int nextAttemptNumber() {
        return attemptCount++;
    }

    /** Whether the lower of the limit at the request's arrival and the limit now allows another attempt. */
    final boolean hasAttemptsLeft(int currentMaxAttempts) {
        return Math.min(maxAttempts, currentMaxAttempts) - attemptCount > 0;
    }

    final void attemptStarted(ConnectionAttempt started) {
        attempt = started;
    }

    final void attemptEnded() {
        attempt = null;
    }

    final boolean isEstablished() {
        return attempt != null && attempt.isEstablished();
    }

    /** Cancels the attempt or the connection, if any, as the client has left or is answered. */
    final void cancelAttempt() {
        if (attempt != null) {
            attempt.cancel(ConnectionOutcome.CLIENT_LEFT);
        }
    }

    /** Migrates the established connection, if any. */
    final void migrate() {
        if (attempt != null) {
            attempt.migrate(ConnectionOutcome.MIGRATED);
        }
    }

    /** Whether nothing more is owed to the client. */
    final boolean isFinished() {
        return finished;
    }

    final void finish() {
        finished = true;
        cancelAnswerTimer();
    }
}
