package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.BalancerEvent.ConnectRequested;

/**
 * The state of one request, from its arrival to its final answer or the end of its connection. {@link RequestLifecycle}
 * owns {@link #state}, which {@link RequestTable} resets at the end, {@link #server} and the attempt; the comments of
 * the other mutable fields that are not private name their owners. Confined to the thread of the load balancer.
 */
final class TrackedRequest {
    /** Phase of a request. */
    enum State {
        /** No attempt is in flight: the request waits for a timer, is being placed or has ended. */
        WAITING,
        /** An attempt at {@link #server} is in flight. */
        ATTEMPTING,
        /** The connection to {@link #server} is established. */
        ESTABLISHED
    }

    final ConnectRequested event;
    final RequestClass requestClass;
    /** Identifies the client; the id of the request if the client is unknown. */
    final String clientKey;

    private final int maxAttempts;

    State state = State.WAITING;
    /** The server of the latest attempt or of the connection; null before the first attempt. */
    ServerState server;

    private int attemptCount;
    private long attemptStartedAtMicros;
    private long establishedAtMicros;
    private ServerState possibleExecutionServer;
    private long possibleExecutionStartMicros;

    /**
     * Last reported load in microseconds of work per second, or the expected load before the first report; 0 if
     * unknown. Owner: {@link ConnectionTracker}.
     */
    double knownLoad;
    /**
     * Load that the estimate of its server counts: the known load or the mean load of its class; 0 if both are unknown.
     * Owner: {@link ConnectionTracker}.
     */
    double assumedLoad;
    /** Token of its latest timer; 0 if it never had one. Owner: {@link BalancerContext#scheduleTimer}. */
    long timerToken;
    /**
     * Position in the migration interval of its server at which it migrates, in [0, 1), or
     * {@link SlowServerMigration#NO_DRAW}. Owner: {@link SlowServerMigration}.
     */
    double migrationDraw = SlowServerMigration.NO_DRAW;

    private List<ServerState> serversWithErrors = List.of();

    TrackedRequest(ConnectRequested event, BalancerSettings settings) {
        this.event = event;
        this.requestClass = settings.classes().get(event.classIndex());
        this.maxAttempts = settings.maxAttempts();
        this.clientKey = event.clientKey() == null ? event.requestId() : event.clientKey();
        this.knownLoad = event.expectedLoad();
    }

    /** Attempts left under the lower of the limits at its arrival and now. */
    int remainingAttempts(BalancerSettings settings) {
        return Math.min(maxAttempts, settings.maxAttempts()) - attemptCount;
    }

    boolean isFirstAttempt() {
        return attemptCount == 0;
    }

    /** Whether this is the number of the latest attempt, counted from 0. */
    boolean isLatestAttempt(int attempt) {
        return attempt == attemptCount - 1;
    }

    void onAttemptStarted(ServerState attemptedServer, long nowMicros) {
        state = State.ATTEMPTING;
        server = attemptedServer;
        attemptStartedAtMicros = nowMicros;
        attemptCount++;
    }

    /** The connection was established elsewhere, which counts as attempt 0. */
    void onAdopted(ServerState adoptedServer) {
        server = adoptedServer;
        attemptCount = 1;
    }

    void onEstablished(long nowMicros) {
        state = State.ESTABLISHED;
        establishedAtMicros = nowMicros;
    }

    /** The latest attempt ended without a connection. Records the first attempt that its server may have executed. */
    void onAttemptFailed(AttemptOutcome outcome) {
        state = State.WAITING;
        if (!outcome.notExecuted && possibleExecutionServer == null) {
            possibleExecutionServer = server;
            possibleExecutionStartMicros = attemptStartedAtMicros;
        }
    }

    /** Server of the first attempt that may have been executed; null if there is none. */
    ServerState possibleExecutionServer() {
        return possibleExecutionServer;
    }

    /** Start of the first attempt that may have been executed. */
    long possibleExecutionStartMicros() {
        return possibleExecutionStartMicros;
    }

    long establishedAtMicros() {
        return establishedAtMicros;
    }

    /** The server of the latest attempt answered with an error. */
    void recordErrorAtServer() {
        serversWithErrors = new ArrayList<>(serversWithErrors);
        serversWithErrors.add(server);
    }

    boolean hadErrorAt(ServerState candidate) {
        return serversWithErrors.contains(candidate);
    }

    /** Returns the servers that answered with an error, in the order of the errors, and clears the list. */
    List<ServerState> takeServersWithErrors() {
        List<ServerState> taken = serversWithErrors;
        serversWithErrors = List.of();
        return taken;
    }
}
