package sandstack.decisions;

import java.util.List;
import sandstack.capacity.HeadroomWeight;
import sandstack.decisions.BalancerAction.Migrate;

/**
 * Which standing connections move, and when. One thread; a server's interval costs O(connections there),
 * levelling O(servers, and the connections of one).
 */
final class ConnectionMigration {
    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;
    private int timeOuts;
    long setUp;

    ConnectionMigration(
            BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, LoadShedder shedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.shedder = shedder;
    }

    /** A set-up that went well, and what it took. */
    void setUp(long took) {
        timeOuts = 0;
        setUp += (Math.max(0, took) - setUp) / 4;
    }

    /** A set-up that had no answer in time; returns how many such came one after another. */
    int timedOut(TrackedRequest r, long took) {
        setUp = Math.max(setUp, Math.min(took, r.cls.deadlineMicros()));
        return ++timeOuts;
    }

    /** The moment of a standing connection has come. */
    void woken(TrackedRequest r) {
        if (!r.at.ready()) {
            context.actions.add(new Migrate(r.ask.requestId()));
        } else if (r.at.fails > 0) {
            r.at.clear();
        }
    }

    void delayTold(ServerState s, double delay) {
        // what is piled up there already works off: moves that go on until it has would empty the server
        boolean falls = 3 * delay - 2 * s.delay < context.shortestMessageLatencyObjectiveMicros
                && context.nowMicros - s.delayAt <= context.ejectionUnitMicros * 2;
        headroom.delayTold(s, delay);
        if (delay < context.shortestMessageLatencyObjectiveMicros) {
            s.moveN = 0;
            s.moveEnd = 0;
            return;
        }
        s.lateAt = context.nowMicros;
        if (!falls) {
            relocate(s);
        }
    }

    /** What a look at the whole moves. */
    void look() {
        for (ServerState s : endpoints.all()) {
            if (headroom.use(s) >= HeadroomWeight.OVERLOADED_UTILIZATION
                    && context.capacity.loadsKnown()
                    && s.ready()) {
                relocate(s);
            }
        }
        level();
    }

    /**
     * Connections on a server too slow to serve them are failed placements: each draws a moment over the
     * whole interval, and moves if the server is still slow then; the next interval starts at its end.
     */
    private void relocate(ServerState s) {
        boolean over = headroom.use(s) >= HeadroomWeight.OVERLOADED_UTILIZATION;
        if (context.nowMicros >= s.moveEnd) {
            s.moveN++;
            s.moveStart = context.nowMicros;
            s.moveEnd = context.nowMicros + (context.slotMicros << RetryBackoff.MAX_N - 1 + Math.min(s.moveN, 4));
            for (TrackedRequest r : s.held.values()) {
                r.moveDraw = context.uniform();
            }
        }
        for (TrackedRequest r : List.copyOf(s.held.values())) {
            long due = s.moveStart + (long) (r.moveDraw * (s.moveEnd - s.moveStart));
            boolean late = r.moveDraw >= 0
                    && due <= context.nowMicros
                    && (over || s.delay >= r.cls.messageLatencyObjectiveMicros());
            if (shedder.on() ? shedder.sheds(r) : late) {
                r.moveDraw = -1;
                context.actions.add(new Migrate(r.ask.requestId()));
            }
        }
    }

    /**
     * Few heavy connections make most of a server's load. From the one used most here, the heaviest that
     * narrows the gap to the one used least moves, one a look: it weighs more than its group costs there.
     */
    private void level() {
        ServerState most = null;
        ServerState least = null;
        for (ServerState s : endpoints.all()) {
            if (s.ready() && s.unmarked(context) && s.warmth(context) >= 1) {
                most = most == null || headroom.use(s) > headroom.use(most) ? s : most;
                least = least == null || headroom.use(s) < headroom.use(least) ? s : least;
            }
        }
        double gap = most == null ? 0 : headroom.use(most) - headroom.use(least);
        if (gap < 2 * ServerPicker.USE_GAP || headroom.use(most) < HeadroomWeight.NEARLY_FULL_UTILIZATION) {
            return;
        }
        double fits = least.estimate.adaptiveLoadLimit(gap / 2);
        TrackedRequest heaviest = null;
        for (TrackedRequest r : most.held.values()) {
            boolean settled = context.nowMicros - r.openedAt > 2 * context.ejectionUnitMicros;
            double above = heaviest == null ? context.capacity.groupOverheadLoad() : heaviest.load;
            if (settled && r.load > above && r.load <= fits) {
                heaviest = r;
            }
        }
        if (heaviest != null) {
            context.actions.add(new Migrate(heaviest.ask.requestId()));
        }
    }
}
