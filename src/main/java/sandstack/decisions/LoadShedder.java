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
    private static final double SHED_FRACTION_STEP = 0.2;
    private static final double MAX_SHED_FRACTION = 0.9;

    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final ClassLoads classLoads = new ClassLoads();
    private final TenantQuotas tenantQuotas = new TenantQuotas();
    private double shedFraction;
    private double overloadedHomeFraction;
    private double overloadedAwayFraction;

    LoadShedder(BalancerContext context, EndpointTable endpoints, ServerHeadroom headroom) {
        this.context = context;
        this.endpoints = endpoints;
        this.headroom = headroom;
        setClassCount(context.settings().classes().size());
        setTenants(context.settings().tenants());
    }

    void setClassCount(int count) {
        classLoads.resize(count);
    }

    void setTenants(List<Tenant> tenants) {
        tenantQuotas.setQuotas(
                tenants.stream().mapToDouble(Tenant::connectionQuota).toArray());
    }

    boolean isShedding() {
        return shedFraction > 0;
    }

    /** Part of the known servers of the home zone that are late, evened out. */
    double overloadedHomeFraction() {
        return overloadedHomeFraction;
    }

    double overloadedAwayFraction() {
        return overloadedAwayFraction;
    }

    private OverloadCount countOverloaded(ServerState[] servers) {
        OverloadCount count = new OverloadCount();
        for (ServerState server : servers) {
            if (server.isReady()) {
                count.add(headroom.isOverloaded(server), headroom.isLocallyFull(server), !server.established.isEmpty());
            }
        }
        return count;
    }

    /** Whether most of what is known here is late. */
    boolean updateFleetOverload() {
        OverloadCount away = countOverloaded(endpoints.awayServers);
        OverloadCount home = countOverloaded(endpoints.homeServers);
        overloadedHomeFraction = home.smoothedOverloadedFraction(overloadedHomeFraction, 2);
        overloadedAwayFraction = away.smoothedOverloadedFraction(overloadedAwayFraction, 1);
        return OverloadCount.isFleetOverloaded(home, away);
    }

    /**
     * Where most servers are late, placing and moving cannot help: all lose together. A part of the load is
     * refused then, least worth for its load first, more each look until the jam is gone.
     */
    void update(Collection<TrackedRequest> requests, boolean fleetOverloaded) {
        boolean calm = shedFraction == 0 && !fleetOverloaded;
        if (calm) {
            classLoads.clearHeld();
        }
        for (TrackedRequest request : requests) {
            if (request.state == TrackedRequest.State.ESTABLISHED) {
                classLoads.addHeld(request.event.classIndex(), calm ? loadOf(request) : 0);
                tenantQuotas.addConnection(request.event.tenantIndex());
            }
        }
        tenantQuotas.update(context.settings().instanceCount());
        if (!calm) {
            shedFraction = fleetOverloaded
                    ? Math.min(MAX_SHED_FRACTION, shedFraction + SHED_FRACTION_STEP)
                    : Math.max(0, shedFraction - SHED_FRACTION_STEP / 8);
            classLoads.shed(
                    shedFraction,
                    classIndex -> context.settings().classes().get(classIndex).priorityWeight(),
                    context.settings().weightPerUnitOfWork());
        }
    }

    /** The load of a connection, or of its class where it tells none; 0 where neither is known. */
    double loadOf(TrackedRequest request) {
        return request.reportedLoad > 0 ? request.reportedLoad : classLoads.meanLoad(request.event.classIndex());
    }

    void onLoadReported(TrackedRequest request, double load) {
        classLoads.onLoadReported(request.event.classIndex(), load);
    }

    /** Drawn by client key, so that the same clients stay away and the others are served whole. */
    boolean shouldShed(TrackedRequest request) {
        if (shedFraction <= 0) {
            return false;
        }
        // what a tenant holds beyond its share is worth little: that part goes before any class
        double overQuotaFraction =
                context.settings().overQuotaWeight() < 1 ? tenantQuotas.excessFraction(request.event.tenantIndex()) : 0;
        double fraction = Math.max(classLoads.shedFraction(request.event.classIndex()), overQuotaFraction);
        return SeededRandom.unit(SeededRandom.mix(SeededRandom.hash(request.clientKey))) < fraction;
    }
}
