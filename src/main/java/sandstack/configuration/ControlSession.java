package sandstack.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import sandstack.configuration.ConfigurationMessage.FollowerMessage;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Hello;

/**
 * The session of a relay with the control machine that it follows. Tries another machine where there is no session,
 * where the machine lacks a quorum or is behind, and from time to time where it is not the preferred one (failback).
 * One attempt at a time. Not thread-safe; moments are microseconds of the relay's clock.
 */
final class ControlSession {
    /** A tick that comes this much after the one before means that the process was paused. */
    private static final long MIN_PAUSE_MICROS = 2_000_000;

    private final FollowerSettings settings;
    private final String relay;
    private final MachineRotation rotation;
    private final FollowerOutput output;
    private final RandomGenerator random;
    private final ReconnectBackoff backoff;
    /** The machine that is followed; null where there is none. */
    private ControlConnection session;
    /** The machine that was sent a hello and has not replied; null where there is none. */
    private ControlConnection attempt;

    private long nextAttemptMicros;
    private long failbackMicros;
    private long lastTickMicros;

    /**
     * Makes the first attempt within one slot of the backoff.
     *
     * @param machines in this relay's order of preference
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

    /** Whether a message belongs to the session with the machine that is followed. */
    boolean isCurrentSession(String machine, long sessionId) {
        return session != null && session.matches(machine, sessionId);
    }

    /** Whether a message replies to the hello of the current attempt. */
    boolean isCurrentAttempt(String machine, long sessionId) {
        return attempt != null && attempt.matches(machine, sessionId);
    }

    boolean isOpen() {
        return session != null;
    }

    /** The machine that is followed. */
    Optional<String> machine() {
        return Optional.ofNullable(session).map(ControlConnection::machine);
    }

    /** What the machine that is followed last reported. */
    Optional<ConfigurationHead> head() {
        return Optional.ofNullable(session).map(ControlConnection::head);
    }

    /**
     * Sends to the machine that is followed; only while the session is open.
     *
     * @param message makes the message of a session's id
     */
    void send(LongFunction<FollowerMessage> message) {
        output.send(session.machine(), message.apply(session.sessionId()));
    }

    /** A message of the session arrived. */
    void heard(long nowMicros) {
        session.heard(nowMicros);
    }

    /** The machine that is followed reported what it holds. */
    void headReceived(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
        session.heard(nowMicros);
        if (session.headReceived(head, activeVersion, nowMicros)) {
            // all relays of a machine learn of it at once and must not try the others at once
            nextAttemptMicros = nowMicros + settings.unsatisfiedGraceMicros() + backoff.randomMaxDelayMicros();
        }
    }

    /** The machine of the attempt welcomed this relay; whether it is followed from now on. */
    boolean welcomed(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
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

    /** The machine of the attempt rejected this relay, did not reply in time, or is not reached. */
    void attemptFailed(long nowMicros) {
        output.close(attempt.machine());
        attempt = null;
        nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        scheduleFailback(nowMicros);
    }

    /** The session ended: the next machine is tried after a backoff. */
    void lost(long nowMicros) {
        output.close(session.machine());
        rotation.continueAfter(session.machine());
        session = null;
        if (attempt == null) {
            nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        }
    }

    /** The connection with a machine is gone; whether it was the session's. */
    boolean disconnected(String machine, long nowMicros) {
        if (attempt != null && attempt.machine().equals(machine)) {
            attemptFailed(nowMicros);
        }
        boolean isSession = session != null && session.machine().equals(machine);
        if (isSession) {
            lost(nowMicros);
        }
        return isSession;
    }

    /** Whether this process was paused since the last tick; no machine counts as silent for what was missed then. */
    boolean detectPause(long nowMicros) {
        boolean paused = nowMicros - lastTickMicros >= MIN_PAUSE_MICROS;
        lastTickMicros = nowMicros;
        if (paused && session != null) {
            session.heard(nowMicros);
        }
        if (paused && attempt != null) {
            attempt.heard(nowMicros);
        }
        return paused;
    }

    /** Gives up silent machines and begins an attempt where one is due; whether the session was given up. */
    boolean tick(ConfigurationVersion activeVersion, long nowMicros) {
        if (attempt != null && attempt.isSilentFor(settings.attemptTimeoutMicros(), nowMicros)) {
            attemptFailed(nowMicros);
        }
        boolean silent = session != null && session.isSilentFor(settings.silenceTimeoutMicros(), nowMicros);
        if (silent) {
            lost(nowMicros);
        }
        if (session != null && session.isStableFor(settings.stableSessionMicros(), nowMicros)) {
            backoff.reset();
        }
        if (attempt == null && nowMicros >= nextAttemptMicros && wantsAnother(nowMicros)) {
            beginAttempt(activeVersion, nowMicros);
        }
        return silent;
    }

    private boolean wantsAnother(long nowMicros) {
        return session == null
                || session.isUnsatisfactoryFor(settings.unsatisfiedGraceMicros(), nowMicros)
                || wantsFailback(nowMicros);
    }

    private boolean wantsFailback(long nowMicros) {
        return session != null
                && session.isSatisfactory()
                && nowMicros >= failbackMicros
                && !rotation.isPreferred(session.machine());
    }

    private void beginAttempt(ConfigurationVersion activeVersion, long nowMicros) {
        if (wantsFailback(nowMicros)) {
            rotation.restart();
        }
        String candidate = rotation.next();
        if (isFollowed(candidate)) {
            candidate = rotation.next();
        }
        if (isFollowed(candidate)) {
            // there is no other machine
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
     * The next failback is drawn at random over the span, after a quarter of it, so that relays do not return together.
     */
    private void scheduleFailback(long nowMicros) {
        failbackMicros = nowMicros + settings.failbackSpanMicros() / 4 + random.nextLong(settings.failbackSpanMicros());
    }
}
