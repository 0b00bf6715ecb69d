package sandstack.decisions;

import sandstack.capacity.RoomWeight;

/**
 * How much room servers have, as far as it shows from here: by the delay of their messages where it is told,
 * by what stands there of what an operator stated, and by the evidence of their estimates. One thread; O(1).
 */
final class Room {
    private final Frame f;
    private boolean delaysTold;

    Room(Frame f) {
        this.f = f;
    }

    /** Part of a server's weight left by the evidence; 0 while its messages take too long. */
    double room(Server s) {
        return unhurried(s) * RoomWeight.byFullness(s.estimate.fullness());
    }

    /** The same by its delay and its use alone. */
    private double unhurried(Server s) {
        boolean fresh = f.now - s.delayAt <= f.markSlot * 2;
        if (fresh && RoomWeight.isTelling(s.delay, f.tightMessage)) {
            return RoomWeight.byDelay(s.delay, f.tightMessage);
        }
        return RoomWeight.byUse(use(s), f.capacity.loadsKnown());
    }

    /** How much of a server what stands there from here uses, by told loads or a guess; others may add. */
    double use(Server s) {
        return delaysTold ? 0 : s.estimate.use(f.set.sharedGroups() ? s.groups.size() : 0, s.warmth(f));
    }

    /** Late by nothing but what stands there from here. */
    boolean fullHere(Server s) {
        return use(s) >= RoomWeight.USE_LATE && f.capacity.loadsKnown() && !s.marked(f);
    }

    boolean late(Server s) {
        return s.marked(f) || unhurried(s) <= 0;
    }

    double least(Server[] among) {
        double least = 1;
        for (Server s : among) {
            least = s.ready() && s.unmarked(f) ? Math.min(least, use(s)) : least;
        }
        return least;
    }

    void delayTold(Server s, double delay) {
        delaysTold = true;
        s.delay = delay;
        s.delayAt = f.now;
    }

    /** A connection stands at its server from now on, with this load; 0 where that is not known. */
    void stands(Request r, double load) {
        r.at.held.put(r.ask.id(), r);
        r.weight = Math.max(0, load);
        f.capacity.stands(r.load);
        r.at.estimate.stands(r.weight, f.now, f.uniform());
        if (r.ask.group() != null) {
            r.at.groups.merge(r.ask.group(), 1, Integer::sum);
        }
    }

    void loadTold(Request r, double load) {
        r.at.estimate.changed(r.weight, load);
        f.capacity.told(r.load, load);
        r.load = load;
        r.weight = load;
    }

    /** A connection stands no longer; nothing happens to one that did not. */
    void left(Request r) {
        if (r.at != null && r.at.held.remove(r.ask.id()) != null) {
            r.at.estimate.left(r.weight);
            f.capacity.left();
            if (r.ask.group() != null) {
                r.at.groups.computeIfPresent(r.ask.group(), (g, n) -> n > 1 ? n - 1 : null);
            }
        }
    }
}
