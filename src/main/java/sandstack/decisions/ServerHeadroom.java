package sandstack.decisions;

import sandstack.capacity.HeadroomWeight;

/**
 * How much room servers have, as far as it shows from here: by the delay of their messages where it is told,
 * by what stands there of what an operator stated, and by the evidence of their estimates. One thread; O(1).
 */
final class ServerHeadroom {
    private final BalancerContext context;
    private boolean delaysTold;

    ServerHeadroom(BalancerContext context) {
        this.context = context;
    }

    /** Part of a server's weight left by the evidence; 0 while its messages take too long. */
    double room(ServerState s) {
        return unhurried(s) * HeadroomWeight.byOccupancy(s.estimate.occupancy());
    }

    /** The same by its delay and its use alone. */
    private double unhurried(ServerState s) {
        boolean fresh = context.nowMicros - s.delayAt <= context.ejectionUnitMicros * 2;
        if (fresh && HeadroomWeight.isInformative(s.delay, context.shortestMessageLatencyObjectiveMicros)) {
            return HeadroomWeight.byDelay(s.delay, context.shortestMessageLatencyObjectiveMicros);
        }
        return HeadroomWeight.byUtilization(use(s), context.capacity.loadsKnown());
    }

    /** How much of a server what stands there from here uses, by told loads or a guess; others may add. */
    double use(ServerState s) {
        return delaysTold
                ? 0
                : s.estimate.utilization(context.settings.sharedGroups() ? s.groups.size() : 0, s.warmth(context));
    }

    /** Late by nothing but what stands there from here. */
    boolean fullHere(ServerState s) {
        return use(s) >= HeadroomWeight.CLOSED_UTILIZATION && context.capacity.loadsKnown() && !s.marked(context);
    }

    boolean late(ServerState s) {
        return s.marked(context) || unhurried(s) <= 0;
    }

    double least(ServerState[] among) {
        double least = 1;
        for (ServerState s : among) {
            least = s.ready() && s.unmarked(context) ? Math.min(least, use(s)) : least;
        }
        return least;
    }

    void delayTold(ServerState s, double delay) {
        delaysTold = true;
        s.delay = delay;
        s.delayAt = context.nowMicros;
    }

    /** A connection stands at its server from now on, with this load; 0 where that is not known. */
    void stands(TrackedRequest r, double load) {
        r.at.held.put(r.ask.requestId(), r);
        r.weight = Math.max(0, load);
        context.capacity.onEstablished(r.load);
        r.at.estimate.onEstablished(r.weight, context.nowMicros, context.uniform());
        if (r.ask.group() != null) {
            r.at.groups.merge(r.ask.group(), 1, Integer::sum);
        }
    }

    void loadTold(TrackedRequest r, double load) {
        r.at.estimate.onLoadChanged(r.weight, load);
        context.capacity.onLoadReported(r.load, load);
        r.load = load;
        r.weight = load;
    }

    /** A connection stands no longer; nothing happens to one that did not. */
    void left(TrackedRequest r) {
        if (r.at != null && r.at.held.remove(r.ask.requestId()) != null) {
            r.at.estimate.onClosed(r.weight);
            context.capacity.onClosed();
            if (r.ask.group() != null) {
                r.at.groups.computeIfPresent(r.ask.group(), (g, n) -> n > 1 ? n - 1 : null);
            }
        }
    }
}
