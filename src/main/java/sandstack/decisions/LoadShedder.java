package sandstack.decisions;

import java.util.Collection;
import java.util.List;
import sandstack.capacity.ClassLoads;
import sandstack.capacity.OverloadCount;
import sandstack.capacity.TenantQuotas;
import sandstack.random.SeededRandom;

/**
 * What part of the load is refused where most servers are late. One thread; a look costs O(servers and
 * requests), the rest O(1).
 */
final class LoadShedder {
    private static final double SHED_STEP = 0.2;
    private static final double SHED_MOST = 0.9;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final ClassLoads loads = new ClassLoads();
    private final TenantQuotas shares = new TenantQuotas();
    private double shed;
    private double lateHome;
    private double lateAway;

    LoadShedder(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        classesAre(context.settings.classes().size());
        tenantsAre(context.settings.tenants());
    }

    void classesAre(int count) {
        loads.resize(count);
    }

    void tenantsAre(List<Tenant> now) {
        shares.setQuotas(now.stream().mapToDouble(Tenant::connectionQuota).toArray());
    }

    boolean on() {
        return shed > 0;
    }

    /** Part of the known servers of the home zone that are late, evened out. */
    double lateHome() {
        return lateHome;
    }

    double lateAway() {
        return lateAway;
    }

    private OverloadCount tally(ServerState[] among) {
        OverloadCount t = new OverloadCount();
        for (ServerState s : among) {
            if (s.ready()) {
                t.add(headroom.late(s), headroom.fullHere(s), !s.held.isEmpty());
            }
        }
        return t;
    }

    /** Whether most of what is known here is late. */
    boolean jammed() {
        OverloadCount away = tally(endpoints.away);
        OverloadCount home = tally(endpoints.home);
        lateHome = home.smoothedOverloadedFraction(lateHome, 2);
        lateAway = away.smoothedOverloadedFraction(lateAway, 1);
        return OverloadCount.isFleetOverloaded(home, away);
    }

    /**
     * Where most servers are late, placing and moving cannot help: all lose together. A part of the load is
     * refused then, least worth for its load first, more each look until the jam is gone.
     */
    void look(Collection<TrackedRequest> requests, boolean jam) {
        boolean calm = shed == 0 && !jam;
        if (calm) {
            loads.clearHeld();
        }
        for (TrackedRequest r : requests) {
            if (r.state == TrackedRequest.State.OPEN) {
                loads.addHeld(r.ask.classIndex(), calm ? loadOf(r) : 0);
                shares.addConnection(r.ask.tenantIndex());
            }
        }
        shares.update(context.settings.instanceCount());
        if (!calm) {
            shed = jam ? Math.min(SHED_MOST, shed + SHED_STEP) : Math.max(0, shed - SHED_STEP / 8);
            loads.shed(
                    shed,
                    c -> context.settings.classes().get(c).priorityWeight(),
                    context.settings.weightPerUnitOfWork());
        }
    }

    /** The load of a connection, or of its class where it tells none; 0 where neither is known. */
    double loadOf(TrackedRequest r) {
        return r.load > 0 ? r.load : loads.meanLoad(r.ask.classIndex());
    }

    void loadTold(TrackedRequest r, double load) {
        loads.onLoadReported(r.ask.classIndex(), load);
    }

    /** Drawn by client key, so that the same clients stay away and the others are served whole. */
    boolean sheds(TrackedRequest r) {
        if (shed <= 0) {
            return false;
        }
        // what a tenant holds beyond its share is worth little: that part goes before any class
        double excess = context.settings.overQuotaWeight() < 1 ? shares.excessFraction(r.ask.tenantIndex()) : 0;
        double part = Math.max(loads.shedFraction(r.ask.classIndex()), excess);
        return SeededRandom.unit(SeededRandom.mix(SeededRandom.hash(r.key))) < part;
    }
}
