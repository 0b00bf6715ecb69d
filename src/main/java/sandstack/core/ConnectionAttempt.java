package sandstack.core;

/**
 * One attempt to serve a request at one feed server, and the established connection that comes of it. The front reports
 * what its wire sees; the first end counts and later reports change nothing. Used on the event loop's thread only.
 */
public final class ConnectionAttempt {
    /** The front's half: the connection to the feed server. */
    public interface Upstream {
        /** Ends the connection to the feed server; the client stays. */
        void abandon();

        /** Sends the client its request to migrate, then ends both sides. */
        void migrate();
    }

    /** A connection on which the feed server leaves a client's message unanswered for so long is migrated. */
    private static final long UNRESPONSIVE_TIMEOUT_MICROS = 4_500_000;
    /** One more turn of the event loop after the connect timeout. */
    private static final long CONNECT_RECHECK_MICROS = 1_000;

    private static final long MICROS_PER_MILLI = 1000;

    /** How far the attempt is. */
    private enum State {
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
    /** When the client sent the message that has no answer yet; 0 where there is none. */
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
        // a machine that has vanished never refuses: without this the complete timeout would go on its silence
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

    /** A request that was not written completely cannot have been executed, however long it was waited for. */
    private void timedOut() {
        cancel(requestWritten ? ConnectionOutcome.TIMED_OUT : ConnectionOutcome.NOT_CONNECTED);
    }

    /**
     * A relay that was suspended itself finds the deadline past before it has polled its sockets: a connection that has
     * come up meanwhile is not a failed one, so it is polled once more.
     */
    private void connectTimedOut() {
        connectTimer = coordinator
                .deadlines()
                .schedule(
                        coordinator.nowMicros() + CONNECT_RECHECK_MICROS,
                        () -> cancel(ConnectionOutcome.NOT_CONNECTED));
    }

    /**
     * The connection to the feed server is open; returns whether the request may be written. The feed server may be
     * draining or gone by now, and the client may have left: the attempt is cancelled then, and nothing has been sent.
     */
    public boolean onConnected() {
        client.checkConnected();
        if (state == State.ENDED) {
            return false;
        }
        if (coordinator.isServerDraining(this)) {
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

    /** The request's last byte has been written to the feed server; counts once, however often it is called. */
    public void onRequestWritten() {
        if (!requestWritten) {
            requestWritten = true;
            coordinator.requestWritten(this);
        }
    }

    /** The feed server has accepted the connection: from now on it owns it. */
    public void onEstablished() {
        if (state == State.CONNECTING) {
            state = State.ESTABLISHED;
            cancelConnectTimer();
            attemptTimer.cancel();
            coordinator.established(this);
        }
    }

    /** The feed server's side has ended, or the client's. */
    public void onEnded(ConnectionOutcome outcome) {
        if (state == State.ENDED) {
            return;
        }
        boolean wasEstablished = state == State.ESTABLISHED;
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

    /** The feed server reported the connection's load. */
    public void onLoadReported(double load) {
        if (state == State.ESTABLISHED) {
            coordinator.loadReported(this, load);
        }
    }

    /** The feed server reported how long a message takes there now, in microseconds. */
    public void onDelayReported(double delayMicros) {
        if (state == State.ESTABLISHED) {
            coordinator.delayReported(this, delayMicros);
        }
    }

    /** The client sent a message that a healthy feed server answers at once. */
    public void onClientMessage() {
        if (state == State.ESTABLISHED && unansweredSinceMicros == 0) {
            unansweredSinceMicros = coordinator.nowMicros();
            unresponsiveTimer = coordinator
                    .deadlines()
                    .schedule(unansweredSinceMicros + UNRESPONSIVE_TIMEOUT_MICROS, this::serverUnresponsive);
        }
    }

    /** The feed server answered what the client sent. */
    public void onServerMessage() {
        if (state == State.ESTABLISHED && unansweredSinceMicros != 0) {
            // the time it took is not used: feed servers answer at once, so the rest is the relay's own time
            unansweredSinceMicros = 0;
            unresponsiveTimer.cancel();
        }
    }

    private void serverUnresponsive() {
        Upstream open = upstream;
        onEnded(ConnectionOutcome.UNRESPONSIVE);
        open.migrate();
    }

    /** Cancels the attempt; the feed server's side is closed before anything else may be sent. */
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

    /** Whether it has ended, in whatever way. */
    public boolean hasEnded() {
        return state == State.ENDED;
    }

    /** The client that it serves. */
    public ClientSession client() {
        return client;
    }

    /** The feed server, as it was listed when the attempt started. */
    public EndpointRegistry.Endpoint endpoint() {
        return endpoint;
    }

    /** Which attempt of its request this is, from 0. */
    public int number() {
        return number;
    }

    /** When it started, in microseconds of the relay's clock. */
    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** How long the relay still waits for this attempt, in complete milliseconds; at least 1. */
    public long remainingMillis() {
        return Math.max(1, (startedAtMicros + timeoutMicros - coordinator.nowMicros()) / MICROS_PER_MILLI);
    }
}
