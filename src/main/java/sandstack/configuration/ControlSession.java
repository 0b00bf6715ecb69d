package sandstack.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import sandstack.configuration.ConfigurationMessage.FollowerMessage;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Hello;

/**
 * The session of a relay with the control machine that it follows. The relay tries another machine if it has no
 * session, if its machine lacks a quorum or is behind the relay's active version, and periodically if its machine is
 * not the preferred one (failback). There is at most one attempt at a time. Not thread-safe; times are in microseconds
 * of the relay's clock.
 */
final class ControlSession {
    /** An interval between two ticks that is at least this long means that the process was paused. */
    private static final long MIN_PAUSE_MICROS = 2_000_000;

    private final FollowerSettings settings;
    private final String relay;
    private final MachineRotation rotation;
    private final FollowerOutput output;
    private final RandomGenerator random;
    private final ReconnectBackoff backoff;
    /** The connection to the machine that the relay follows; null if there is no session. */
    private ControlConnection session;
    /** The connection to a machine that has not replied to a hello yet; null if there is no attempt. */
    private ControlConnection attempt;

    private long nextAttemptMicros;
    private long failbackMicros;
    private long lastTickMicros;

    /**
     * Schedules the first attempt at a random time within one slot of the backoff.
     *
     * @param relay the name of the relay
     * @param machines all control machines, in this relay's order of preference
     */
    ControlSession(
            FollowerSettings settings,
            String relay,
            List<ControlMachine> machines,
            FollowerOutput output,
            RandomGenerator random,
            long nowMicros) {
        this.settings = settings;
        this.relay = relay;
        this.rotation = new MachineRotation(machines);
        this.output = output;
        this.random = random;
        this.backoff =
                new ReconnectBackoff(settings.backoffSlotMicros(), settings.maxBackoffDoublings(), random, nowMicros);
        this.nextAttemptMicros = backoff.firstAttemptMicros(nowMicros);
        this.lastTickMicros = nowMicros;
    }

    /** Whether a message belongs to the open session. */
    boolean isCurrentSession(String machine, long sessionId) {
        return session != null && session.matches(machine, sessionId);
    }

    /** Whether a message is a reply to the hello of the current attempt. */
    boolean isCurrentAttempt(String machine, long sessionId) {
        return attempt != null && attempt.matches(machine, sessionId);
    }

    boolean isOpen() {
        return session != null;
    }

    /** The name of the machine that the relay follows; empty if there is no session. */
    Optional<String> machine() {
        return Optional.ofNullable(session).map(ControlConnection::machine);
    }

    /** The latest committed state that the followed machine reported; empty if there is no session. */
    Optional<ConfigurationHead> head() {
        return Optional.ofNullable(session).map(ControlConnection::head);
    }

    /**
     * Sends a message within the session, which must be open.
     *
     * @param message creates the message from the session id
     */
    void send(LongFunction<FollowerMessage> message) {
        output.send(session.machine(), message.apply(session.sessionId()));
    }

    /** Restarts the silence timeout of the session, which must be open. */
    void messageReceived(long nowMicros) {
        session.restartSilenceTimeout(nowMicros);
    }

    /** Handles a report of the committed state of the machine that the relay follows; the session must be open. */
    void headReceived(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
        session.restartSilenceTimeout(nowMicros);
        if (session.headReceived(head, activeVersion, nowMicros)) {
            // its relays find the machine unsatisfactory at the same time; the random delay spreads their attempts
            nextAttemptMicros = nowMicros + settings.unsatisfactoryGraceMicros() + backoff.randomDelayMicros();
        }
    }

    /**
     * Handles the welcome of the current attempt. The relay switches to the machine if it has no session or
     * {@link MachineSelection#isBetter} prefers that machine to the current one.
     *
     * @return whether the relay follows the machine of the attempt from now on
     */
    boolean welcomeReceived(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
        if (session != null) {
            boolean isPreferred = rotation.isPreferredTo(attempt.machine(), session.machine());
            if (!MachineSelection.isBetter(head, isPreferred, session, activeVersion)) {
                output.send(attempt.machine(), new Goodbye(attempt.sessionId()));
                attemptFailed(nowMicros);
                return false;
            }
            output.send(session.machine(), new Goodbye(session.sessionId()));
            output.close(session.machine());
        }
        session = attempt;
        attempt = null;
        session.opened(nowMicros);
        nextAttemptMicros = nowMicros;
        headReceived(head, activeVersion, nowMicros);
        scheduleFailback(nowMicros);
        return true;
    }

    /**
     * Ends the current attempt: the machine rejected this relay, did not reply in time, is unreachable, has another
     * history, or is not better than the followed machine.
     */
    void attemptFailed(long nowMicros) {
        output.close(attempt.machine());
        attempt = null;
        nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        scheduleFailback(nowMicros);
    }

    /**
     * Ends the session; the next machine in the order of preference is tried after a backoff, unless an attempt is in
     * progress.
     */
    void sessionLost(long nowMicros) {
        output.close(session.machine());
        rotation.continueAfter(session.machine());
        session = null;
        if (attempt == null) {
            nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        }
    }

    /**
     * Called when the connection to a machine is closed; ends the attempt or the session on it.
     *
     * @return whether the session ended
     */
    boolean disconnected(String machine, long nowMicros) {
        if (attempt != null && attempt.machine().equals(machine)) {
            attemptFailed(nowMicros);
        }
        boolean isSession = session != null && session.machine().equals(machine);
        if (isSession) {
            sessionLost(nowMicros);
        }
        return isSession;
    }

    /**
     * Detects a pause of this process since the last tick. After a pause it restarts the silence timeouts, because
     * messages that arrived during the pause were missed or are not handled yet.
     *
     * @return whether the process was paused
     */
    boolean detectPause(long nowMicros) {
        boolean paused = nowMicros - lastTickMicros >= MIN_PAUSE_MICROS;
        lastTickMicros = nowMicros;
        if (paused && session != null) {
            session.restartSilenceTimeout(nowMicros);
        }
        if (paused && attempt != null) {
            attempt.restartSilenceTimeout(nowMicros);
        }
        return paused;
    }

    /**
     * Ends a session or attempt whose machine is silent, resets the backoff if the session is stable, and starts a new
     * attempt if one is due.
     *
     * @return whether the session ended because of silence
     */
    boolean tick(ConfigurationVersion activeVersion, long nowMicros) {
        if (attempt != null && attempt.isSilentFor(settings.attemptTimeoutMicros(), nowMicros)) {
            attemptFailed(nowMicros);
        }
        boolean silent = session != null && session.isSilentFor(settings.silenceTimeoutMicros(), nowMicros);
        if (silent) {
            sessionLost(nowMicros);
        }
        if (session != null && session.isStableFor(settings.stableSessionMicros(), nowMicros)) {
            backoff.reset();
        }
        if (attempt == null && nowMicros >= nextAttemptMicros && shouldTryAnotherMachine(nowMicros)) {
            beginAttempt(activeVersion, nowMicros);
        }
        return silent;
    }

    private boolean shouldTryAnotherMachine(long nowMicros) {
        return session == null
                || session.isUnsatisfactoryFor(settings.unsatisfactoryGraceMicros(), nowMicros)
                || isFailbackDue(nowMicros);
    }

    private boolean isFailbackDue(long nowMicros) {
        return session != null
                && session.isSatisfactory()
                && nowMicros >= failbackMicros
                && !rotation.isPreferred(session.machine());
    }

    private void beginAttempt(ConfigurationVersion activeVersion, long nowMicros) {
        if (isFailbackDue(nowMicros)) {
            rotation.restartFromPreferred();
        }
        String candidate = rotation.next();
        if (isFollowed(candidate)) {
            candidate = rotation.next();
        }
        if (isFollowed(candidate)) {
            // the relay follows the only machine
            nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
            return;
        }
        attempt = new ControlConnection(candidate, random.nextLong(), nowMicros);
        output.send(
                candidate, new Hello(attempt.sessionId(), relay, ConfigurationChange.FORMAT_VERSION, activeVersion));
    }

    private boolean isFollowed(String machine) {
        return session != null && session.machine().equals(machine);
    }

    /**
     * Schedules the next failback at a random time between 1/4 and 5/4 of the span from now, so that relays do not
     * return to their preferred machine at the same time.
     */
    private void scheduleFailback(long nowMicros) {
        failbackMicros = nowMicros + settings.failbackSpanMicros() / 4 + random.nextLong(settings.failbackSpanMicros());
    }
}
