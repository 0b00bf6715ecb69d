package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CandidateSummary;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * The choice of a server: highest random weight over all that are ready and unmarked, home zone first. One
 * thread; a draw costs O(servers of the zones that it looks at).
 */
final class ServerPicker {
    /** Home zone kept while this part of its usual weight is usable. */
    private static final double SPILL_BELOW = 0.5;
    /** Home also keeps everything while this part of its servers, or less, is late. */
    private static final double SPILL_LATE = 0.1;
    /** What a server that holds some of the group weighs more in the draw for one of its connections. */
    private static final double HOLDER_WEIGHT = 8;

    private static final double USE_WEIGHT = 3;
    /** What a server may hold of its part ("Consistent hashing with bounded loads", Mirrokni, 2016). */
    private static final double BOUND = 1.25;
    /** A relay that holds few connections sees too little of the others' to split a group for so many. */
    private static final double BOUND_FEW = 2;

    private static final double OVER_WEIGHT = 0.05;
    /** What a server of the home zone weighs more where a draw is over all zones. */
    private static final double HOME_WEIGHT = 2;
    /** Groups are brought together while more than this part of the servers known here is late. */
    private static final double TOGETHER_LATE = 0.25;
    /** A group has one place while more than this part of the servers known here is cold or goes. */
    private static final double FEW_PLACES = 0.25;

    private static final double TRIAL = 1e12;
    /** Home keeps everything while it is used by no more than this above others; at twice that, nothing. */
    static final double USE_GAP = 0.15;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;
    private CandidateSummary survey;

    ServerPicker(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom, LoadShedder shedder) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        this.shedder = shedder;
        classesAre(context.settings.classes());
    }

    void classesAre(List<RequestClass> classes) {
        survey = new CandidateSummary(
                classes.stream().mapToDouble(RequestClass::priorityWeight).toArray());
    }

    /**
     * Whether a server that is cold, or was late a moment ago, may have this request. Who comes for the first
     * time comes steadily: as much as it can take. Who comes back does so with others, and needs a permit.
     */
    private boolean budgetFor(TrackedRequest r, ServerState s) {
        double warmth = s.warmth(context);
        long recovers = context.slotMicros << RetryBackoff.MAX_N + 1;
        if (warmth >= 1 && context.nowMicros - s.lateAt > recovers) {
            return true;
        }
        double fill = s.estimate.capacityInConnections()
                * warmth
                / (warmth < 1 ? context.settings.slowStartDurationMicros() : recovers);
        if (warmth < 1) {
            boolean first = !r.ask.reconnecting() && r.attempts == 0;
            return s.cold.admitsDuringSlowStart(
                    context.slowStartRule,
                    context.processCount,
                    fill,
                    endpoints.isHome(s),
                    first,
                    context.nowMicros,
                    context::uniform);
        }
        double part = SlowStartBudget.relayShare(
                        endpoints.isHome(s), context.settings.instanceCount(), context.settings.zoneCount())
                / context.processCount;
        return s.cold.hasPermit(
                fill * part, context.settings.overloadWindowMicros(), context.nowMicros, context::uniform);
    }

    /**
     * A group that stands in every zone may cost more there than all of its connections. Home comes first
     * while it can bear that: not where servers are late, nor where relays outnumber them and see too little.
     */
    private boolean together() {
        return Math.max(shedder.lateHome(), shedder.lateAway()) > TOGETHER_LATE || outnumbered();
    }

    private boolean outnumbered() {
        return context.settings.instanceCount() > context.settings.zoneCount() * endpoints.home.length;
    }

    /**
     * Which of its group's places a request goes to, by its client's key. A large group fills a server alone,
     * and no relay of many can know its size: over two places it is served whole, and what takes one takes
     * half. Each is paid for like some connections: while servers are replaced there is no room for a second.
     */
    private long place(TrackedRequest r) {
        int passing = 0;
        for (ServerState s : endpoints.listedServers) {
            passing += s.ready() && s.warmth(context) >= 1 ? 0 : 1;
        }
        boolean one = !outnumbered() || passing > endpoints.listedServers.length * FEW_PLACES;
        return one ? 0 : SeededRandom.mix(SeededRandom.hash(r.key)) >>> 63;
    }

    /** The server for this request. Null where none can take it. */
    ServerState choose(TrackedRequest r) {
        long seed = r.ask.group() == null ? context.random.next() : SeededRandom.hash(r.ask.group()) + place(r);
        survey.reset();
        double usable = 0;
        for (ServerState s : endpoints.home) {
            usable += s.ready() && s.unmarked(context) ? s.rating * s.warmth(context) : 0;
        }
        ServerState best = null;
        // spilled: what the zone has lost of its usual weight beyond the threshold, and a part as large as
        // the share of its servers that are late, unless those elsewhere are late too
        double keep = endpoints.homeWeight <= 0 ? 0 : usable / (endpoints.homeWeight * SPILL_BELOW);
        keep = Math.min(keep, 1 - Math.max(0, shedder.lateHome() - SPILL_LATE) * (1 - shedder.lateAway()));
        // and what the least used elsewhere is used less than the least used at home
        keep = Math.min(
                keep, 1 - (headroom.least(endpoints.home) - headroom.least(endpoints.away) - USE_GAP) / USE_GAP);
        // a site of one zone has nowhere to spill to: who was spilled all the same waited in vain
        if (r.ask.group() != null && together()) {
            best = draw(r, endpoints.listedServers, seed);
        } else if (keep >= 1 || endpoints.away.length == 0 || context.uniform() < keep) {
            best = draw(r, endpoints.home, seed);
        }
        if (best == null || !survey.admits(r.ask.classIndex())) {
            ServerState far = draw(r, endpoints.away, seed);
            best = far != null ? far : best;
        }
        return survey.admits(r.ask.classIndex()) ? best : null;
    }

    private ServerState draw(TrackedRequest r, ServerState[] among, long seed) {
        ServerState best = null;
        double top = Double.NEGATIVE_INFINITY;
        for (ServerState s : among) {
            if (!r.allowedAt(s) || !s.unmarked(context)) {
                continue;
            }
            boolean over = InstallationLimits.isReached(
                            context.limits.maxServerConnections(), s.estimate.connectionsAndAttempts())
                    || !s.gate.hasToken(context.nowMicros);
            if (!survey.add(s.estimate, over, context.nowMicros)) {
                continue;
            }
            // no fallback to servers whose messages are late: what is added there serves nobody, and where
            // all are late, holding and refusing is what lets them recover
            double room = this.headroom.room(s);
            if (room <= 0) {
                continue;
            }
            // a trial may be turned away: only where nothing else here has room
            double score = score(r, s, room, seed) - (s.estimate.hasHeadroom() ? 0 : TRIAL);
            if (score > top && budgetFor(r, s)) {
                top = score;
                best = s;
            }
        }
        return best;
    }

    /** What the last choice saw. */
    CandidateSummary survey() {
        return survey;
    }

    private double score(TrackedRequest r, ServerState s, double room, long seed) {
        double score = Math.log(SeededRandom.unit(SeededRandom.mix(seed ^ s.hash)));
        score /=
                s.rating * SlowStartBudget.selectionWeight(s.warmth(context)) * (endpoints.isHome(s) ? HOME_WEIGHT : 1);
        // its own load here counts in mean connections: two heavy ones of one balancer part ways
        double held = context.capacity.loadsKnown()
                ? s.estimate.establishedLoad() / context.capacity.meanLoad()
                : s.held.size();
        held *= endpoints.meanRating / s.rating;
        if (r.ask.group() == null) {
            return score / room * (1 + held);
        }
        // where no loads are told, one that holds more than its part lets the next go to the place behind it
        double most = BOUND * context.capacity.connectionsPerRating() * endpoints.meanRating + BOUND_FEW;
        boolean over = !context.capacity.loadsReported() && held > most;
        // where the group already stands it is paid for: before any other server
        score /= room * (over ? OVER_WEIGHT : s.groups.containsKey(r.ask.group()) ? HOLDER_WEIGHT : 1);
        return score * (1 + USE_WEIGHT * this.headroom.use(s));
    }
}
