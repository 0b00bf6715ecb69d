package sandstack.core;

/**
 * The client's side of one request, from its arrival to its end. Each front extends it for its protocol; only classes
 * of this package change its state, through the methods here. Used on the event loop's thread only.
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

    /** The id that the request has claimed; null if it has claimed none. See {@link RequestIds}. */
    private String claimedId;

    private boolean possiblyExecuted;
    private boolean finished;
    /** Fails the request if it is overdue; null for an adopted connection, whose client does not wait for an answer. */
    private DeadlineScheduler.Deadline answerTimer;

    /** Connects to the attempt's feed server and forwards the request; progress is reported to {@code attempt}. */
    protected abstract ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt);

    /**
     * Reads the client's pending input without blocking, if the front supports that. A disconnect found here is
     * reported to the relay before this method returns, so that no attempt is started for a client that has
     * disconnected.
     */
    protected void checkConnected() {}

    /**
     * The id that the client has given its request, so that a second request with that id is recognized; null if the
     * protocol has none.
     */
    protected String requestId() {
        return null;
    }

    /**
     * Called once when the relay has accepted the request, whose deadline runs from then on. Calls back when attempts
     * may start, which is at once unless something of an earlier request has to end before.
     */
    protected void prepareAttempts(Runnable whenPrepared) {
        whenPrepared.run();
    }

    /** Sends the final answer to a request that is not served, and ends the client's connection. */
    protected abstract void sendRejection(Rejection rejection);

    /** The client's request; null until the front has passed it to {@link Relay#accept}. */
    public final ClientRequest request() {
        return request;
    }

    /** The attempt in flight or the established connection; null if there is neither. */
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

    /** The number of attempts counted by {@link #nextAttemptNumber}, including those for which nothing was sent. */
    final int attemptCount() {
        return attemptCount;
    }

    /** Counts an attempt and returns its number; the first is 0. */
    final int nextAttemptNumber() {
        return attemptCount++;
    }

    /** Whether another attempt is within both the limit at the request's arrival and the current limit. */
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

    /** Cancels the attempt or the connection, if any, because the client has disconnected or gets its final answer. */
    final void cancelAttempt() {
        if (attempt != null) {
            attempt.cancel(ConnectionOutcome.CLIENT_LEFT);
        }
    }

    /** Migrates the established connection; no effect while none is established. */
    final void migrate() {
        if (attempt != null) {
            attempt.migrate(ConnectionOutcome.MIGRATED);
        }
    }

    final void setClaimedId(String id) {
        claimedId = id;
    }

    final String claimedId() {
        return claimedId;
    }

    /** Called when an attempt has ended that a feed server may have executed. */
    final void markPossiblyExecuted() {
        possiblyExecuted = true;
    }

    /** Whether a feed server may have executed the request. */
    final boolean isPossiblyExecuted() {
        return possiblyExecuted;
    }

    /** Whether the request has ended, so that nothing more is sent for it. */
    final boolean isFinished() {
        return finished;
    }

    final void finish() {
        finished = true;
        cancelAnswerTimer();
    }
}
