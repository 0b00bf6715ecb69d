package sandstack.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.SetupRateLimiter;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/** What this instance knows of one server; its health marks are here too. One thread; all calls O(1). */
final class ServerState {
    private static final int MAX_MARK = 3;

    final String id;
    final long hash;
    int zone;
    int cell;
    double rating = 1;
    long startedAt;
    EndpointState phase = EndpointState.GONE;
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

    final CapacityEstimate estimate;
    final SetupRateLimiter gate;
    final SlowStartBudget cold = new SlowStartBudget();

    int moveN;
    long moveStart;
    long moveEnd;
    final Map<String, TrackedRequest> held = new LinkedHashMap<>();
    final Map<String, Integer> groups = new LinkedHashMap<>();

    ServerState(String id, BalancerContext context) {
        this.id = id;
        this.hash = SeededRandom.hash(id);
        this.estimate = context.capacity.newEstimate();
        this.gate = new SetupRateLimiter(context.limits.maxSetupsPerSecond(), context.nowMicros);
    }

    boolean ready() {
        return phase == EndpointState.READY;
    }

    void mark(BalancerContext context) {
        fails = Math.min(fails + 1, MAX_MARK);
        markedUntil = context.nowMicros + (context.ejectionUnitMicros << fails >> 1);
    }

    /**
     * An error may be the request's own fault: some err wherever they go, and marks for that emptied the
     * fleet. The server is at fault once it errs on another group too, or once another serves the request.
     */
    void erred(TrackedRequest r, BalancerContext context) {
        String what = r.ask.group() != null ? r.ask.group() : r.key;
        if (erredOn != null && !erredOn.equals(what)) {
            mark(context);
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
    boolean unmarked(BalancerContext context) {
        return fails == 0 || (context.nowMicros >= markedUntil && !trialOut);
    }

    /**
     * A mark that has run out says nothing any more, though no trial has come to clear it: counted on, it
     * kept a balancer shedding after the trouble had passed.
     */
    boolean marked(BalancerContext context) {
        return fails > 0 && context.nowMicros < markedUntil;
    }

    /** The part of its capacity that it has by now: 1 when it is warm. */
    double warmth(BalancerContext context) {
        return context.settings.slowStartFraction(startedAt, context.nowMicros);
    }

    /** A fresh process: what was known of the old one says nothing, and it is cold. */
    void restarted(long at, BalancerContext context) {
        startedAt = at;
        fails = 0;
        markedUntil = 0;
        delay = 0;
        estimate.onRestart();
        cold.onRestart(context.nowMicros);
    }
}
