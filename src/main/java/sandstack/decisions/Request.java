package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.Settings;

/** One client connection, from its arrival to its end. */
final class Request {
    /** Whether it is held here, out at a server as an attempt, or open. */
    enum State {
        HELD,
        OUT,
        OPEN
    }

    final ConnectRequest ask;
    final RequestClass cls;
    final String key;
    private final int most;
    State state = State.HELD;
    int attempts;
    Server at;
    double load;
    /** What it is taken for while it stands: its load, or what its class tells; 0 where neither is known. */
    double weight;

    long wake;
    long openedAt;
    double moveDraw = -1;
    /** Servers that gave it an error. */
    List<Server> erredAt = List.of();
    // keyed and unsafe classes: the first attempt that may have run
    Server mayHaveRunAt;
    long mayHaveRunSince;
    long sentAt;

    Request(ConnectRequest ask, Settings set) {
        this.ask = ask;
        this.cls = set.classes().get(ask.requestClass());
        this.most = set.maxAttempts();
        this.key = ask.clientKey() == null ? ask.id() : ask.clientKey();
        this.load = ask.load();
    }

    /** Attempts that it still has: those allowed when it came may be fewer by now, but never more. */
    int left(Settings set) {
        return Math.min(most, set.maxAttempts()) - attempts;
    }

    void erred(Server s) {
        erredAt = new ArrayList<>(erredAt);
        erredAt.add(s);
    }

    /** Whether one more attempt can do no effect twice. */
    boolean mayRepeat(long now) {
        return mayHaveRunAt == null
                || cls.repeat() == Repeat.SAFE
                || (cls.repeat() == Repeat.KEYED && now - mayHaveRunSince < cls.window());
    }

    boolean mayBeRefused() {
        return mayHaveRunAt == null
                || cls.repeat() == Repeat.SAFE
                || (cls.repeat() == Repeat.KEYED && cls.scope() == Scope.ALL);
    }

    /** Whether an attempt there can do no effect twice, and the server did not err on it. */
    boolean allowedAt(Server s) {
        if (!s.ready() || erredAt.contains(s)) {
            return false;
        }
        Server ran = mayHaveRunAt;
        boolean anywhere = ran == null || cls.repeat() == Repeat.SAFE;
        return anywhere || cls.scope().covers(ran.zone, ran.cell, s.zone, s.cell);
    }
}
