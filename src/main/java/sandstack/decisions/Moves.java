package sandstack.decisions;

import java.util.List;
import sandstack.capacity.RoomWeight;
import sandstack.decisions.Decisions.Relocate;

/**
 * Which standing connections move, and when. One thread; a server's interval costs O(connections there),
 * levelling O(servers, and the connections of one).
 */
final class Moves {
    private final Frame f;
    private final Fleet fleet;
    private final Room room;
    private final Shedding shedding;
    private int timeOuts;
    long setUp;

    Moves(Frame f, Fleet fleet, Room room, Shedding shedding) {
        this.f = f;
        this.fleet = fleet;
        this.room = room;
        this.shedding = shedding;
    }

    /** A set-up that went well, and what it took. */
    void setUp(long took) {
        timeOuts = 0;
        setUp += (Math.max(0, took) - setUp) / 4;
    }

    /** A set-up that had no answer in time; returns how many such came one after another. */
    int timedOut(Request r, long took) {
        setUp = Math.max(setUp, Math.min(took, r.cls.deadline()));
        return ++timeOuts;
    }

    /** The moment of a standing connection has come. */
    void woken(Request r) {
        if (!r.at.ready()) {
            f.out.add(new Relocate(r.ask.id()));
        } else if (r.at.fails > 0) {
            r.at.clear();
        }
    }

    void delayTold(Server s, double delay) {
        // what is piled up there already works off: moves that go on until it has would empty the server
        boolean falls = 3 * delay - 2 * s.delay < f.tightMessage && f.now - s.delayAt <= f.markSlot * 2;
        room.delayTold(s, delay);
        if (delay < f.tightMessage) {
            s.moveN = 0;
            s.moveEnd = 0;
            return;
        }
        s.lateAt = f.now;
        if (!falls) {
            relocate(s);
        }
    }

    /** What a look at the whole moves. */
    void look() {
        for (Server s : fleet.all()) {
            if (room.use(s) >= RoomWeight.USE_OVER && f.capacity.loadsKnown() && s.ready()) {
                relocate(s);
            }
        }
        level();
    }

    /**
     * Connections on a server too slow to serve them are failed placements: each draws a moment over the
     * whole interval, and moves if the server is still slow then; the next interval starts at its end.
     */
    private void relocate(Server s) {
        boolean over = room.use(s) >= RoomWeight.USE_OVER;
        if (f.now >= s.moveEnd) {
            s.moveN++;
            s.moveStart = f.now;
            s.moveEnd = f.now + (f.slot << BackOffs.MAX_N - 1 + Math.min(s.moveN, 4));
            for (Request r : s.held.values()) {
                r.moveDraw = f.uniform();
            }
        }
        for (Request r : List.copyOf(s.held.values())) {
            long due = s.moveStart + (long) (r.moveDraw * (s.moveEnd - s.moveStart));
            boolean late = r.moveDraw >= 0 && due <= f.now && (over || s.delay >= r.cls.messageAim());
            if (shedding.on() ? shedding.sheds(r) : late) {
                r.moveDraw = -1;
                f.out.add(new Relocate(r.ask.id()));
            }
        }
    }

    /**
     * Few heavy connections make most of a server's load. From the one used most here, the heaviest that
     * narrows the gap to the one used least moves, one a look: it weighs more than its group costs there.
     */
    private void level() {
        Server most = null;
        Server least = null;
        for (Server s : fleet.all()) {
            if (s.ready() && s.unmarked(f) && s.warmth(f) >= 1) {
                most = most == null || room.use(s) > room.use(most) ? s : most;
                least = least == null || room.use(s) < room.use(least) ? s : least;
            }
        }
        double gap = most == null ? 0 : room.use(most) - room.use(least);
        if (gap < 2 * Draw.USE_GAP || room.use(most) < RoomWeight.USE_FULL) {
            return;
        }
        double fits = least.estimate.load(gap / 2);
        Request heaviest = null;
        for (Request r : most.held.values()) {
            boolean settled = f.now - r.openedAt > 2 * f.markSlot;
            double above = heaviest == null ? f.capacity.group() : heaviest.load;
            if (settled && r.load > above && r.load <= fits) {
                heaviest = r;
            }
        }
        if (heaviest != null) {
            f.out.add(new Relocate(heaviest.ask.id()));
        }
    }
}
