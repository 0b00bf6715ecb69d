package sandstack.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.ColdBudget;
import sandstack.capacity.Estimate;
import sandstack.capacity.Gate;
import sandstack.decisions.Decisions.Phase;
import sandstack.random.SeededRandom;

/** What this instance knows of one server; its health marks are here too. One thread; all calls O(1). */
final class Server {
    private static final int MAX_MARK = 3;

    final String id;
    final long hash;
    int zone;
    int cell;
    double rating = 1;
    long startedAt;
    Phase phase = Phase.GONE;
    long leavingSince;

    int fails;
    private long markedUntil;
    boolean trialOut;
    /** What it last gave an error to, until it has served something. */
    String erredOn;

    double delay;
    long delayAt = Long.MIN_VALUE / 2;
    /** When its messages last took too long. */
    long lateAt = Long.MIN_VALUE / 2;

    final Estimate estimate;
    final Gate gate;
    final ColdBudget cold = new ColdBudget();

    int moveN;
    long moveStart;
    long moveEnd;
    final Map<String, Request> held = new LinkedHashMap<>();
    final Map<String, Integer> groups = new LinkedHashMap<>();

    Server(String id, Frame f) {
        this.id = id;
        this.hash = SeededRandom.hash(id);
        this.estimate = f.capacity.unknown();
        this.gate = new Gate(f.limits.setups(), f.now);
    }

    boolean ready() {
        return phase == Phase.READY;
    }

    void mark(Frame f) {
        fails = Math.min(fails + 1, MAX_MARK);
        markedUntil = f.now + (f.markSlot << fails >> 1);
    }

    /**
     * An error may be the request's own fault: some err wherever they go, and marks for that emptied the
     * fleet. The server is at fault once it errs on another group too, or once another serves the request.
     */
    void erred(Request r, Frame f) {
        String what = r.ask.group() != null ? r.ask.group() : r.key;
        if (erredOn != null && !erredOn.equals(what)) {
            mark(f);
        }
        erredOn = what;
        r.erred(this);
    }

    void clear() {
        fails = 0;
        markedUntil = 0;
        trialOut = false;
    }

    /** A mark that has run out ends by one trial, not by a crowd. */
    boolean unmarked(Frame f) {
        return fails == 0 || (f.now >= markedUntil && !trialOut);
    }

    /**
     * A mark that has run out says nothing any more, though no trial has come to clear it: counted on, it
     * kept a balancer shedding after the trouble had passed.
     */
    boolean marked(Frame f) {
        return fails > 0 && f.now < markedUntil;
    }

    /** The part of its capacity that it has by now: 1 when it is warm. */
    double warmth(Frame f) {
        return f.set.warmth(startedAt, f.now);
    }

    /** A fresh process: what was known of the old one says nothing, and it is cold. */
    void restarted(long at, Frame f) {
        startedAt = at;
        fails = 0;
        markedUntil = 0;
        delay = 0;
        estimate.restarted();
        cold.restarted(f.now);
    }
}
