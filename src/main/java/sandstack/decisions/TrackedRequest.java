package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.BalancerEvent.ConnectRequested;

/**
 * The state of one request, from its arrival to its final answer or to the end of its connection.
 * {@link RequestLifecycle} owns {@link #state}, {@link #server} and the attempt; the other fields name their owners.
 * One thread.
 */
final class TrackedRequest {
    /** Phase of a request. */
    enum State {
        /** Held until a timer expires; also the state after its end. */
        WAITING,
        /** An attempt at {@link #server} is in flight. */
        ATTEMPTING,
        /** Its connection at {@link #server} is established. */
        ESTABLISHED
    }

    final ConnectRequested event;
    final RequestClass requestClass;
    /** Identifies the client; the request's own id where the client is unknown. */
    final String clientKey;

    private final int maxAttempts;

    State state = State.WAITING;
    /** The server of the latest attempt or of the connection; null before the first attempt. */
    ServerState server;

    private int attemptCount;
    private long attemptStartedAtMicros;
    private long establishedAtMicros;
    private ServerState possiblyExecutedAt;
    private long possiblyExecutedSinceMicros;

    /** Reported load, in microseconds of work a second; 0 where unknown. Owner: {@link ConnectionTracker}. */
    double reportedLoad;
    /** Load that its server's estimate counts: reported, or the mean of its class. Owner: {@link ConnectionTracker}. */
    double assumedLoad;
    /** Token of its timer; 0 where it never had one. Owner: {@link BalancerContext#scheduleTimer}. */
    long timerToken;
    /** Position in its server's migration interval, in [0, 1), or none. Owner: {@link SlowServerMigration}. */
    double migrationDraw = SlowServerMigration.NO_DRAW;

    private List<ServerState> serversWithErrors = List.of();

    TrackedRequest(ConnectRequested event, BalancerSettings settings) {
        this.event = event;
        this.requestClass = settings.classes().get(event.classIndex());
        this.maxAttempts = settings.maxAttempts();
        this.clientKey = event.clientKey() == null ? event.requestId() : event.clientKey();
        this.reportedLoad = event.expectedLoad();
    }

    /** Attempts left under the lower of the limits at its arrival and now. */
    int remainingAttempts(BalancerSettings settings) {
        return Math.min(maxAttempts, settings.maxAttempts()) - attemptCount;
    }

    boolean isFirstAttempt() {
        return attemptCount == 0;
    }

    /** Whether this is the number, from 0, of the latest attempt. */
    boolean isLatestAttempt(int attempt) {
        return attempt == attemptCount - 1;
    }

    void onAttemptStarted(ServerState attemptedServer, long nowMicros) {
        state = State.ATTEMPTING;
        server = attemptedServer;
        attemptStartedAtMicros = nowMicros;
        attemptCount++;
    }

    /** Its connection was established elsewhere, by what counts as attempt 0. */
    void onAdopted(ServerState adoptedServer) {
        server = adoptedServer;
        attemptCount = 1;
    }

    void onEstablished(long nowMicros) {
        state = State.ESTABLISHED;
        establishedAtMicros = nowMicros;
    }

    /** The latest attempt ended without a connection; notes the first one that its server may have executed. */
    void onAttemptFailed(AttemptOutcome outcome) {
        state = State.WAITING;
        if (!outcome.notExecuted && possiblyExecutedAt == null) {
            possiblyExecutedAt = server;
            possiblyExecutedSinceMicros = attemptStartedAtMicros;
        }
    }

    /** Server of the first attempt that may have been executed; null where none may. */
    ServerState possiblyExecutedAt() {
        return possiblyExecutedAt;
    }

    /** Start of that attempt. */
    long possiblyExecutedSinceMicros() {
        return possiblyExecutedSinceMicros;
    }

    long establishedAtMicros() {
        return establishedAtMicros;
    }

    /** The server of the latest attempt answered it with an error. */
    void recordErrorAtServer() {
        serversWithErrors = new ArrayList<>(serversWithErrors);
        serversWithErrors.add(server);
    }

    boolean hadErrorAt(ServerState candidate) {
        return serversWithErrors.contains(candidate);
    }

    /** The servers that answered it with an error, in that order; they are forgotten. */
    List<ServerState> takeServersWithErrors() {
        List<ServerState> taken = serversWithErrors;
        serversWithErrors = List.of();
        return taken;
    }
}
