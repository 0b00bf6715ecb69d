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
    private static final long SLEPT = 2_000_000;

    /** A connection with one machine. */
    private static final class Link {
        final String machine;
        final long id;
        ConfigurationHead head;
        long heardAt;
        long since;

        Link(String machine, long id, long now) {
            this.machine = machine;
            this.id = id;
            this.heardAt = now;
            this.since = now;
        }
    }

    private final FollowerSettings settings;
    private final String relay;
    private final List<ControlMachine> order;
    private final FollowerOutput output;
    private final RandomGenerator random;
    private final ReconnectBackOff backOff;
    private Link session;
    private Link attempt;
    private int nextCandidate;
    private long attemptAt;
    private long returnAt;
    /** Since when the session's machine lacks a quorum or is behind; only while it does. */
    private long unsatisfiedSince;

    private boolean satisfied;
    private long lastTurn;

    ControlSession(
            FollowerSettings settings,
            String relay,
            List<ControlMachine> order,
            FollowerOutput output,
            RandomGenerator random,
            long now) {
        this.settings = settings;
        this.relay = relay;
        this.order = List.copyOf(order);
        this.output = output;
        this.random = random;
        this.backOff = new ReconnectBackOff(settings.slot(), settings.mostDoublings(), random, now);
        this.attemptAt = backOff.first(now);
        this.lastTurn = now;
    }

    /** Whether a message of this session comes from the machine that is followed. */
    boolean isCurrent(String machine, long id) {
        return session != null && session.id == id && session.machine.equals(machine);
    }

    boolean isAttempt(String machine, long id) {
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

    long id() {
        return session.id;
    }

    /** The machine that is followed said something. */
    void heard(long now) {
        session.heardAt = now;
    }

    /** The machine that is followed said what it holds. */
    void heard(ConfigurationHead head, ConfigurationVersion inForce, long now) {
        session.heardAt = now;
        session.head = head;
        boolean satisfies = satisfies(head, inForce);
        if (satisfied && !satisfies) {
            unsatisfiedSince = now;
            // all relays of a machine hear of it at once; they are not to ask the others at once
            attemptAt = now + settings.grace() + backOff.drawWidest();
        }
        satisfied = satisfies;
    }

    /** The machine that was asked takes this relay; returns whether it is followed now. */
    boolean welcomed(ConfigurationHead head, ConfigurationVersion inForce, long now) {
        if (session != null && !isBetter(head, inForce)) {
            output.send(attempt.machine, new Goodbye(attempt.id));
            attemptFailed(now);
            return false;
        }
        if (session != null) {
            output.send(session.machine, new Goodbye(session.id));
            output.close(session.machine);
        }
        session = attempt;
        attempt = null;
        session.since = now;
        satisfied = true;
        attemptAt = now;
        heard(head, inForce, now);
        drawReturn(now);
        return true;
    }

    /** The machine that was asked does not take this relay, or is not reached. */
    void attemptFailed(long now) {
        output.close(attempt.machine);
        attempt = null;
        attemptAt = backOff.next(now);
        drawReturn(now);
    }

    /** The session is over: another machine is asked at a drawn moment. */
    void lost(long now) {
        output.close(session.machine);
        nextCandidate = position(session.machine) + 1;
        session = null;
        if (attempt == null) {
            attemptAt = backOff.next(now);
        }
    }

    /** The connection with a machine is gone; returns whether it was the session's. */
    boolean disconnected(String machine, long now) {
        if (attempt != null && attempt.machine.equals(machine)) {
            attemptFailed(now);
        }
        boolean current = session != null && session.machine.equals(machine);
        if (current) {
            lost(now);
        }
        return current;
    }

    /** Whether this process stood still since the last turn; nobody is blamed for what it missed then. */
    boolean slept(long now) {
        boolean slept = now - lastTurn >= SLEPT;
        lastTurn = now;
        if (slept && session != null) {
            session.heardAt = now;
        }
        if (slept && attempt != null) {
            attempt.heardAt = now;
        }
        return slept;
    }

    /** Gives up who is silent and asks where it is time to; returns whether the session was given up. */
    boolean turn(ConfigurationVersion inForce, long now) {
        if (attempt != null && now - attempt.heardAt >= settings.attemptTimeout()) {
            attemptFailed(now);
        }
        boolean silent = session != null && now - session.heardAt >= settings.silence();
        if (silent) {
            lost(now);
        }
        if (session != null && satisfied && now - session.since >= settings.stable()) {
            backOff.clear();
        }
        if (attempt == null && now >= attemptAt && wantsAnother(now)) {
            ask(inForce, now);
        }
        return silent;
    }

    private boolean wantsAnother(long now) {
        return session == null || !satisfied && now - unsatisfiedSince >= settings.grace() || wantsReturn(now);
    }

    private boolean wantsReturn(long now) {
        return session != null && satisfied && now >= returnAt && position(session.machine) > 0;
    }

    private void ask(ConfigurationVersion inForce, long now) {
        if (wantsReturn(now)) {
            nextCandidate = 0;
        }
        ControlMachine candidate = candidate();
        if (session != null && candidate.name().equals(session.machine)) {
            candidate = candidate();
        }
        if (session != null && candidate.name().equals(session.machine)) {
            // there is no other machine
            attemptAt = backOff.next(now);
            return;
        }
        attempt = new Link(candidate.name(), random.nextLong(), now);
        output.send(candidate.name(), new Hello(attempt.id, relay, ConfigurationChange.FORMAT_VERSION, inForce));
    }

    private ControlMachine candidate() {
        ControlMachine candidate = order.get(nextCandidate % order.size());
        nextCandidate = (nextCandidate + 1) % order.size();
        return candidate;
    }

    private boolean isBetter(ConfigurationHead head, ConfigurationVersion inForce) {
        if (satisfied) {
            return satisfies(head, inForce) && position(attempt.machine) < position(session.machine);
        }
        return satisfies(head, inForce)
                || !session.head.quorum() && head.version().isAfter(session.head.version());
    }

    private static boolean satisfies(ConfigurationHead head, ConfigurationVersion inForce) {
        return head.quorum() && head.version().index() >= inForce.index();
    }

    private int position(String machine) {
        for (int i = 0; i < order.size(); i++) {
            if (order.get(i).name().equals(machine)) {
                return i;
            }
        }
        return 0;
    }

    private void drawReturn(long now) {
        returnAt = now + settings.returnSpan() / 4 + random.nextLong(settings.returnSpan());
    }
}
