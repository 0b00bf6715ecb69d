package sandstack.core;

/**
 * One attempt to serve a request at one feed server, and the established connection if the attempt succeeds. The front
 * reports protocol events through the {@code on} methods. Only the first reported end counts; later reports have no
 * effect. Used on the event loop's thread only.
 */
public final class ConnectionAttempt {
    /** The connection to the feed server, implemented by the front. */
    public interface Upstream {
        /** Closes the connection to the feed server; the client's connection stays open. */
        void abandon();

        /** Sends the client the protocol's migration message, then closes both connections. */
        void migrate();
    }

    /** A connection is migrated once the feed server has left a client's message unanswered for this time. */
    private static final long UNRESPONSIVE_TIMEOUT_MICROS = 4_500_000;
    /** Delay from the connect timeout to its recheck, so that the event loop polls its sockets in between. */
    private static final long CONNECT_RECHECK_MICROS = 1_000;

    private static final long MICROS_PER_MILLI = 1000;

    /** The attempt's progress; it only moves forward. */
    private enum State {
        /** The feed server has not accepted the request yet, whether or not the TCP connection is open. */
        CONNECTING,
        ESTABLISHED,
        ENDED
    }

    private final AttemptCoordinator coordinator;
    private final ClientSession client;
    private final EndpointRegistry.Endpoint endpoint;
    private final int number;
    private final long startedAtMicros;
    private final long timeoutMicros;
    private State state = State.CONNECTING;
    private Upstream upstream;
    private DeadlineScheduler.Deadline connectTimer;
    private DeadlineScheduler.Deadline attemptTimer;
    private DeadlineScheduler.Deadline unresponsiveTimer;
    /** When the client sent its first message since the feed server's last answer; 0 if it has sent none. */
    private long unansweredSinceMicros;

    private boolean requestWritten;

    ConnectionAttempt(
            AttemptCoordinator coordinator,
            ClientSession client,
            EndpointRegistry.Endpoint endpoint,
            int number,
            long timeoutMicros) {
        this.coordinator = coordinator;
        this.client = client;
        this.endpoint = endpoint;
        this.number = number;
        this.timeoutMicros = timeoutMicros;
        this.startedAtMicros = coordinator.nowMicros();
    }

    void start() {
        attemptTimer = coordinator.deadlines().schedule(startedAtMicros + timeoutMicros, this::timedOut);
        // an unreachable host sends no RST: without a connect timeout the attempt would wait for its complete timeout
        connectTimer = coordinator
                .deadlines()
                .schedule(
                        startedAtMicros + Math.min(timeoutMicros, coordinator.connectTimeoutMicros()),
                        this::connectTimedOut);
        Upstream opened = client.startAttempt(this);
        if (state == State.ENDED) {
            opened.abandon();
        } else {
            upstream = opened;
        }
    }

    /** A request that was not written completely cannot have been executed, so it does not count as timed out. */
    private void timedOut() {
        cancel(requestWritten ? ConnectionOutcome.TIMED_OUT : ConnectionOutcome.NOT_CONNECTED);
    }

    /**
     * Lets the event loop poll the sockets once more before the connect counts as failed. If the relay process was
     * suspended, the deadline passes before the sockets are polled, although the connection may have been opened.
     */
    private void connectTimedOut() {
        connectTimer = coordinator
                .deadlines()
                .schedule(
                        coordinator.nowMicros() + CONNECT_RECHECK_MICROS,
                        () -> cancel(ConnectionOutcome.NOT_CONNECTED));
    }

    /**
     * Called when the connection to the feed server is open; returns whether the request may be written. Returns false
     * and cancels the attempt if the client has disconnected or if the feed server is draining or no longer listed; the
     * state of the feed server is ignored for an adopted connection.
     */
    public boolean onConnected() {
        client.checkConnected();
        if (state == State.ENDED) {
            return false;
        }
        if (coordinator.isServerUnavailableTo(this)) {
            cancel(ConnectionOutcome.NOT_SENT);
            return false;
        }
        cancelConnectTimer();
        return true;
    }

    private void cancelConnectTimer() {
        if (connectTimer != null) {
            connectTimer.cancel();
        }
    }

    /** Called when the request's last byte has been written to the feed server; further calls have no effect. */
    public void onRequestWritten() {
        if (!requestWritten) {
            requestWritten = true;
            coordinator.requestWritten(this);
        }
    }

    /** Called when the feed server has accepted the request, which establishes the connection. */
    public void onEstablished() {
        if (state == State.CONNECTING) {
            state = State.ESTABLISHED;
            cancelConnectTimer();
            attemptTimer.cancel();
            coordinator.established(this);
        }
    }

    /** Called when the feed server's or the client's side has ended; only the first call counts. */
    public void onEnded(ConnectionOutcome outcome) {
        if (state == State.ENDED) {
            return;
        }
        boolean wasEstablished = state == State.ESTABLISHED;
        if (wasEstablished || (requestWritten && !outcome.outcome().notExecuted)) {
            client.markPossiblyExecuted();
        }
        state = State.ENDED;
        cancelConnectTimer();
        attemptTimer.cancel();
        if (unresponsiveTimer != null) {
            unresponsiveTimer.cancel();
        }
        if (wasEstablished) {
            coordinator.connectionEnded(this, outcome);
        } else {
            coordinator.attemptFailed(this, outcome);
        }
    }

    /** Called when the feed server reports the connection's load; ignored unless established. */
    public void onLoadReported(double load) {
        if (state == State.ESTABLISHED) {
            coordinator.loadReported(this, load);
        }
    }

    /**
     * Called when the feed server reports its current delay per message, in microseconds; ignored unless established.
     */
    public void onDelayReported(double delayMicros) {
        if (state == State.ESTABLISHED) {
            coordinator.delayReported(this, delayMicros);
        }
    }

    /** Called when the client has sent a message that a healthy feed server answers immediately. */
    public void onClientMessage() {
        if (state == State.ESTABLISHED && unansweredSinceMicros == 0) {
            unansweredSinceMicros = coordinator.nowMicros();
            unresponsiveTimer = coordinator
                    .deadlines()
                    .schedule(unansweredSinceMicros + UNRESPONSIVE_TIMEOUT_MICROS, this::serverUnresponsive);
        }
    }

    /** Called when the feed server has answered the client's message. */
    public void onServerMessage() {
        if (state == State.ESTABLISHED && unansweredSinceMicros != 0) {
            // the response time is not used: feed servers answer immediately, so it measures only the relay's own delay
            unansweredSinceMicros = 0;
            unresponsiveTimer.cancel();
        }
    }

    private void serverUnresponsive() {
        Upstream open = upstream;
        onEnded(ConnectionOutcome.UNRESPONSIVE);
        open.migrate();
    }

    /**
     * Cancels the attempt. The connection to the feed server is closed before the end is reported, because the report
     * may start another attempt.
     */
    void cancel(ConnectionOutcome outcome) {
        Upstream open = upstream;
        if (state != State.ENDED && open != null) {
            open.abandon();
        }
        onEnded(outcome);
    }

    void migrate(ConnectionOutcome outcome) {
        if (state == State.ESTABLISHED) {
            Upstream open = upstream;
            onEnded(outcome);
            open.migrate();
        }
    }

    /** Whether the connection is established and has not ended. */
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Whether the attempt has ended, with any outcome. */
    public boolean hasEnded() {
        return state == State.ENDED;
    }

    /** The client for which the attempt is made. */
    public ClientSession client() {
        return client;
    }

    /** The feed server's endpoint as listed when the attempt started; the list may have changed since. */
    public EndpointRegistry.Endpoint endpoint() {
        return endpoint;
    }

    /** The attempt's number within its request; the first is 0. */
    public int number() {
        return number;
    }

    /** The start time, in microseconds of the relay's clock. */
    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** The time left until the attempt's timeout, in whole milliseconds rounded down; at least 1. */
    public long remainingMillis() {
        return Math.max(1, (startedAtMicros + timeoutMicros - coordinator.nowMicros()) / MICROS_PER_MILLI);
    }
}
