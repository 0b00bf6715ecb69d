package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.BalancerEvent.ConnectRequested;

/** One client connection, from its arrival to its end. */
final class TrackedRequest {
    /** Whether it is held here, out at a server as an attempt, or open. */
    enum State {
        HELD,
        OUT,
        OPEN
    }

    final ConnectRequested ask;
    final RequestClass cls;
    final String key;
    private final int most;
    State state = State.HELD;
    int attempts;
    ServerState at;
    double load;
    /** What it is taken for while it stands: its load, or what its class tells; 0 where neither is known. */
    double weight;

    long wake;
    long openedAt;
    double moveDraw = -1;
    /** Servers that gave it an error. */
    List<ServerState> erredAt = List.of();
    // keyed and unsafe classes: the first attempt that may have run
    ServerState mayHaveRunAt;
    long mayHaveRunSince;
    long sentAt;

    TrackedRequest(ConnectRequested ask, BalancerSettings set) {
        this.ask = ask;
        this.cls = set.classes().get(ask.classIndex());
        this.most = set.maxAttempts();
        this.key = ask.clientKey() == null ? ask.requestId() : ask.clientKey();
        this.load = ask.expectedLoad();
    }

    /** Attempts that it still has: those allowed when it came may be fewer by now, but never more. */
    int left(BalancerSettings set) {
        return Math.min(most, set.maxAttempts()) - attempts;
    }

    void erred(ServerState s) {
        erredAt = new ArrayList<>(erredAt);
        erredAt.add(s);
    }

    /** Whether one more attempt can do no effect twice. */
    boolean mayRepeat(long now) {
        return mayHaveRunAt == null
                || cls.idempotency() == Idempotency.IDEMPOTENT
                || (cls.idempotency() == Idempotency.WITH_KEY
                        && now - mayHaveRunSince < cls.deduplicationWindowMicros());
    }

    boolean mayBeRefused() {
        return mayHaveRunAt == null
                || cls.idempotency() == Idempotency.IDEMPOTENT
                || (cls.idempotency() == Idempotency.WITH_KEY && cls.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Whether an attempt there can do no effect twice, and the server did not err on it. */
    boolean allowedAt(ServerState s) {
        if (!s.ready() || erredAt.contains(s)) {
            return false;
        }
        ServerState ran = mayHaveRunAt;
        boolean anywhere = ran == null || cls.idempotency() == Idempotency.IDEMPOTENT;
        return anywhere || cls.deduplicationScope().covers(ran.zone, ran.cell, s.zone, s.cell);
    }
}
