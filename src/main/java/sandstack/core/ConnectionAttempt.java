package sandstack.core;

/**
 * One attempt to serve a command at one feed server, and the standing connection that comes of it. The front
 * reports what its wire sees; the first ending counts and later reports change nothing.
 */
public final class ConnectionAttempt {
    /** The front's half: the way to the feed server. */
    public interface Upstream {
        /** Ends the way to the feed server; the client stays. */
        void abandon();

        /** Tells the client to move, then ends both sides. */
        void migrate();
    }

    private static final long LAST_LOOK = 1_000;

    /** Whether the connection is being made, stands, or has ended. */
    private enum State {
        OUT,
        STANDING,
        OVER
    }

    private final Relay relay;
    private final ClientSession client;
    private final EndpointRegistry.Endpoint endpoint;
    private final int number;
    private final long startedAtMicros;
    private final long timeoutMicros;
    private State state = State.OUT;
    private Upstream wire;
    private DeadlineScheduler.Deadline connecting;
    private DeadlineScheduler.Deadline waiting;
    private DeadlineScheduler.Deadline silence;
    private long spokeAt;
    private boolean onRequestWritten;

    ConnectionAttempt(
            Relay relay, ClientSession client, EndpointRegistry.Endpoint endpoint, int number, long timeoutMicros) {
        this.relay = relay;
        this.client = client;
        this.endpoint = endpoint;
        this.number = number;
        this.timeoutMicros = timeoutMicros;
        this.startedAtMicros = relay.now();
    }

    void start() {
        waiting = relay.deadlines().schedule(startedAtMicros + timeoutMicros, this::outOfTime);
        // a machine that has vanished never refuses: without this the whole patience would go on its silence
        connecting = relay.deadlines()
                .schedule(startedAtMicros + Math.min(timeoutMicros, relay.connectTimeout()), this::connectLate);
        Upstream opened = client.startAttempt(this);
        if (state == State.OVER) {
            opened.abandon();
        } else {
            wire = opened;
        }
    }

    /** What the feed server was never sent whole cannot have run, however long it was waited for. */
    private void outOfTime() {
        giveUp(onRequestWritten ? ConnectionOutcome.TIMED_OUT : ConnectionOutcome.NOT_CONNECTED);
    }

    /**
     * A relay that was held up itself finds the deadline past before it has looked at its sockets: a connection
     * that has come up meanwhile is not taken for a failed one, as it gets one more look.
     */
    private void connectLate() {
        connecting = relay.deadlines().schedule(relay.now() + LAST_LOOK, () -> giveUp(ConnectionOutcome.NOT_CONNECTED));
    }

    /**
     * The way to the feed server is open; returns whether the request may be written. A way that came up late may lead
     * to one that drains or is gone by now, and its client may have left meanwhile: it is given up then, and nothing has
     * been sent.
     */
    public boolean onConnected() {
        client.checkConnected();
        if (state == State.OVER) {
            return false;
        }
        if (relay.isServerDraining(this)) {
            giveUp(ConnectionOutcome.NOT_SENT);
            return false;
        }
        connectEnded();
        return true;
    }

    private void connectEnded() {
        if (connecting != null) {
            connecting.cancel();
        }
    }

    /** The request's last byte has been written to the feed server; told more than once, it counts once. */
    public void onRequestWritten() {
        if (!onRequestWritten) {
            onRequestWritten = true;
            relay.written(this);
        }
    }

    /** The feed server has taken the connection: from now on it owns it. */
    public void onEstablished() {
        if (state == State.OUT) {
            state = State.STANDING;
            connectEnded();
            waiting.cancel();
            relay.established(this);
        }
    }

    /** The feed server's way has ended, or the client's. */
    public void onEnded(ConnectionOutcome ending) {
        if (state == State.OVER) {
            return;
        }
        boolean stood = state == State.STANDING;
        state = State.OVER;
        connectEnded();
        waiting.cancel();
        if (silence != null) {
            silence.cancel();
        }
        relay.ended(this, ending, stood);
    }

    /** The feed server told the connection's load. */
    public void onLoadReported(double load) {
        if (state == State.STANDING) {
            relay.loadTold(this, load);
        }
    }

    /** The feed server told how long a message takes there now, in microseconds. */
    public void onDelayReported(double delay) {
        if (state == State.STANDING) {
            relay.delayTold(this, delay);
        }
    }

    /** The client sent something that the feed server answers at once if it is well. */
    public void onClientMessage() {
        if (state == State.STANDING && spokeAt == 0) {
            spokeAt = relay.now();
            silence = relay.deadlines().schedule(spokeAt + Relay.SILENCE, this::fellSilent);
        }
    }

    /** The feed server answered what the client sent. */
    public void onServerMessage() {
        if (state == State.STANDING && spokeAt != 0) {
            // what the answer took says nothing: feed servers bring a line back at once, and the rest is our own time
            spokeAt = 0;
            silence.cancel();
        }
    }

    private void fellSilent() {
        Upstream open = wire;
        onEnded(ConnectionOutcome.UNRESPONSIVE);
        open.migrate();
    }

    /** Gives the execution up; the feed server's side is closed before anything else may be sent. */
    void giveUp(ConnectionOutcome ending) {
        Upstream open = wire;
        if (state != State.OVER && open != null) {
            open.abandon();
        }
        onEnded(ending);
    }

    void migrate(ConnectionOutcome ending) {
        if (state == State.STANDING) {
            Upstream open = wire;
            onEnded(ending);
            open.migrate();
        }
    }

    /** Whether the connection stands. */
    public boolean isEstablished() {
        return state == State.STANDING;
    }

    /** Whether it has ended, in whatever way. */
    public boolean hasEnded() {
        return state == State.OVER;
    }

    /** The client that it serves. */
    public ClientSession client() {
        return client;
    }

    /** The feed server, as it was listed when the execution began. */
    public EndpointRegistry.Endpoint endpoint() {
        return endpoint;
    }

    /** Which attempt of its command this is, from 0. */
    public int number() {
        return number;
    }

    /** When it began, in microseconds of the relay's clock. */
    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** How long the relay still waits for this execution, in whole milliseconds. */
    public long remainingMillis() {
        return Math.max(1, (startedAtMicros + timeoutMicros - relay.now()) / 1000);
    }
}
