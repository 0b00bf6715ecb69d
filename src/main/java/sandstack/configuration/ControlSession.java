package sandstack.configuration;

import java.util.List;
import java.util.random.RandomGenerator;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Hello;

/**
 * Which control machine a relay follows. Keeps one session; asks another machine where there is none, where the machine
 * lacks a quorum or is behind, and once in a while where it is not the preferred one. One attempt at a time. One thread.
 */
final class ControlSession {
    /** A turn that comes this much later than the one before was slept through, in microseconds. */
    private static final long MIN_PAUSE_MICROS = 2_000_000;

    /** A connection with one machine. */
    private static final class Link {
        final String machine;
        final long id;
        ConfigurationHead head;
        long lastHeardMicros;
        long openedMicros;

        Link(String machine, long id, long nowMicros) {
            this.machine = machine;
            this.id = id;
            this.lastHeardMicros = nowMicros;
            this.openedMicros = nowMicros;
        }
    }

    private final FollowerSettings settings;
    private final String relay;
    private final List<ControlMachine> machines;
    private final FollowerOutput output;
    private final RandomGenerator random;
    private final ReconnectBackoff backoff;
    private Link session;
    private Link attempt;
    private int nextCandidateIndex;
    private long nextAttemptMicros;
    private long failbackMicros;
    /** Since when the session's machine lacks a quorum or is behind; only while it does. */
    private long unsatisfiedSinceMicros;

    private boolean satisfied;
    private long lastTickMicros;

    ControlSession(
            FollowerSettings settings,
            String relay,
            List<ControlMachine> machines,
            FollowerOutput output,
            RandomGenerator random,
            long nowMicros) {
        this.settings = settings;
        this.relay = relay;
        this.machines = List.copyOf(machines);
        this.output = output;
        this.random = random;
        this.backoff =
                new ReconnectBackoff(settings.backoffSlotMicros(), settings.maxBackoffDoublings(), random, nowMicros);
        this.nextAttemptMicros = backoff.firstAttemptMicros(nowMicros);
        this.lastTickMicros = nowMicros;
    }

    /** Whether a message of this session comes from the machine that is followed. */
    boolean isCurrentSession(String machine, long id) {
        return session != null && session.id == id && session.machine.equals(machine);
    }

    boolean isCurrentAttempt(String machine, long id) {
        return attempt != null && attempt.id == id && attempt.machine.equals(machine);
    }

    boolean isOpen() {
        return session != null;
    }

    /** The machine that is followed; null where there is none. */
    String machine() {
        return session == null ? null : session.machine;
    }

    /** What the machine that is followed said last; null where there is none. */
    ConfigurationHead head() {
        return session == null ? null : session.head;
    }

    long sessionId() {
        return session.id;
    }

    /** The machine that is followed said something. */
    void heard(long nowMicros) {
        session.lastHeardMicros = nowMicros;
    }

    /** The machine that is followed said what it holds. */
    void heard(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
        session.lastHeardMicros = nowMicros;
        session.head = head;
        boolean satisfies = satisfies(head, activeVersion);
        if (satisfied && !satisfies) {
            unsatisfiedSinceMicros = nowMicros;
            // all relays of a machine hear of it at once; they are not to ask the others at once
            nextAttemptMicros = nowMicros + settings.unsatisfiedGraceMicros() + backoff.randomMaxDelayMicros();
        }
        satisfied = satisfies;
    }

    /** The machine that was asked takes this relay; returns whether it is followed now. */
    boolean welcomed(ConfigurationHead head, ConfigurationVersion activeVersion, long nowMicros) {
        if (session != null && !isBetter(head, activeVersion)) {
            output.send(attempt.machine, new Goodbye(attempt.id));
            attemptFailed(nowMicros);
            return false;
        }
        if (session != null) {
            output.send(session.machine, new Goodbye(session.id));
            output.close(session.machine);
        }
        session = attempt;
        attempt = null;
        session.openedMicros = nowMicros;
        satisfied = true;
        nextAttemptMicros = nowMicros;
        heard(head, activeVersion, nowMicros);
        scheduleFailback(nowMicros);
        return true;
    }

    /** The machine that was asked does not take this relay, or is not reached. */
    void attemptFailed(long nowMicros) {
        output.close(attempt.machine);
        attempt = null;
        nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        scheduleFailback(nowMicros);
    }

    /** The session is over: another machine is asked at a drawn moment. */
    void lost(long nowMicros) {
        output.close(session.machine);
        nextCandidateIndex = preferenceOf(session.machine) + 1;
        session = null;
        if (attempt == null) {
            nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
        }
    }

    /** The connection with a machine is gone; returns whether it was the session's. */
    boolean disconnected(String machine, long nowMicros) {
        if (attempt != null && attempt.machine.equals(machine)) {
            attemptFailed(nowMicros);
        }
        boolean current = session != null && session.machine.equals(machine);
        if (current) {
            lost(nowMicros);
        }
        return current;
    }

    /** Whether this process stood still since the last turn; nobody is blamed for what it missed then. */
    boolean detectPause(long nowMicros) {
        boolean paused = nowMicros - lastTickMicros >= MIN_PAUSE_MICROS;
        lastTickMicros = nowMicros;
        if (paused && session != null) {
            session.lastHeardMicros = nowMicros;
        }
        if (paused && attempt != null) {
            attempt.lastHeardMicros = nowMicros;
        }
        return paused;
    }

    /** Gives up who is silent and asks where it is time to; returns whether the session was given up. */
    boolean tick(ConfigurationVersion activeVersion, long nowMicros) {
        if (attempt != null && nowMicros - attempt.lastHeardMicros >= settings.attemptTimeoutMicros()) {
            attemptFailed(nowMicros);
        }
        boolean silent = session != null && nowMicros - session.lastHeardMicros >= settings.silenceTimeoutMicros();
        if (silent) {
            lost(nowMicros);
        }
        if (session != null && satisfied && nowMicros - session.openedMicros >= settings.stableSessionMicros()) {
            backoff.reset();
        }
        if (attempt == null && nowMicros >= nextAttemptMicros && wantsAnother(nowMicros)) {
            sendHello(activeVersion, nowMicros);
        }
        return silent;
    }

    private boolean wantsAnother(long nowMicros) {
        return session == null
                || !satisfied && nowMicros - unsatisfiedSinceMicros >= settings.unsatisfiedGraceMicros()
                || wantsFailback(nowMicros);
    }

    private boolean wantsFailback(long nowMicros) {
        return session != null && satisfied && nowMicros >= failbackMicros && preferenceOf(session.machine) > 0;
    }

    private void sendHello(ConfigurationVersion activeVersion, long nowMicros) {
        if (wantsFailback(nowMicros)) {
            nextCandidateIndex = 0;
        }
        ControlMachine candidate = nextCandidate();
        if (session != null && candidate.name().equals(session.machine)) {
            candidate = nextCandidate();
        }
        if (session != null && candidate.name().equals(session.machine)) {
            // there is no other machine
            nextAttemptMicros = backoff.nextAttemptMicros(nowMicros);
            return;
        }
        attempt = new Link(candidate.name(), random.nextLong(), nowMicros);
        output.send(candidate.name(), new Hello(attempt.id, relay, ConfigurationChange.FORMAT_VERSION, activeVersion));
    }

    private ControlMachine nextCandidate() {
        ControlMachine candidate = machines.get(nextCandidateIndex % machines.size());
        nextCandidateIndex = (nextCandidateIndex + 1) % machines.size();
        return candidate;
    }

    private boolean isBetter(ConfigurationHead head, ConfigurationVersion activeVersion) {
        if (satisfied) {
            return satisfies(head, activeVersion) && preferenceOf(attempt.machine) < preferenceOf(session.machine);
        }
        return satisfies(head, activeVersion)
                || !session.head.hasQuorum() && head.version().isAfter(session.head.version());
    }

    private static boolean satisfies(ConfigurationHead head, ConfigurationVersion activeVersion) {
        return head.hasQuorum() && head.version().index() >= activeVersion.index();
    }

    private int preferenceOf(String machine) {
        for (int i = 0; i < machines.size(); i++) {
            if (machines.get(i).name().equals(machine)) {
                return i;
            }
        }
        return 0;
    }

    private void scheduleFailback(long nowMicros) {
        failbackMicros = nowMicros + settings.failbackSpanMicros() / 4 + random.nextLong(settings.failbackSpanMicros());
    }
}
