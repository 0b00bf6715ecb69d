package sandstack.decisions;

import java.util.Collection;
import java.util.List;
import sandstack.capacity.ClassLoads;
import sandstack.capacity.TenantQuotas;
import sandstack.random.SeededRandom;

/**
 * Sheds a fraction of the load while most of the fleet is overloaded and neither placement nor migration can help. Load
 * is shed in the order of increasing priority weight per load. Of a tenant beyond its quota at least the excess is
 * shed, provided that the settings give such traffic a lower weight. Confined to the thread of the load balancer. An
 * update costs O(requests + tenants + classes squared), {@link #setClassCount} O(classes), {@link #setTenants}
 * O(tenants), other calls O(1).
 */
final class LoadShedder {
    /** Increase of the shed fraction per update while the fleet is overloaded. */
    private static final double SHED_FRACTION_STEP = 0.2;
    /**
     * Decrease of the shed fraction per update afterwards; slower, so that the overload does not return immediately.
     */
    private static final double RECOVERY_FRACTION_STEP = SHED_FRACTION_STEP / 8;
    /** Limit of the shed fraction, so that some load is always served. */
    private static final double MAX_SHED_FRACTION = 0.9;

    private final BalancerContext context;
    private final ClassLoads classLoads = new ClassLoads();
    private final TenantQuotas tenantQuotas = new TenantQuotas();
    private double shedFraction;

    LoadShedder(BalancerContext context) {
        this.context = context;
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

    /**
     * Adjusts the shed fraction or, while nothing is shed and the fleet is not overloaded, measures the load of each
     * class instead. The shed fraction applies to the loads that were measured last.
     */
    void update(Collection<TrackedRequest> requests, boolean fleetOverloaded) {
        boolean measureLoads = shedFraction == 0 && !fleetOverloaded;
        if (measureLoads) {
            classLoads.clearEstablishedLoads();
        }
        for (TrackedRequest request : requests) {
            if (request.state == TrackedRequest.State.ESTABLISHED) {
                classLoads.addEstablishedLoad(request.event.classIndex(), measureLoads ? loadOf(request) : 0);
                tenantQuotas.addConnection(request.event.tenantIndex());
            }
        }
        tenantQuotas.update(context.settings().relayCount());
        if (!measureLoads) {
            adjustShedFraction(fleetOverloaded);
        }
    }

    private void adjustShedFraction(boolean fleetOverloaded) {
        shedFraction = fleetOverloaded
                ? Math.min(MAX_SHED_FRACTION, shedFraction + SHED_FRACTION_STEP)
                : Math.max(0, shedFraction - RECOVERY_FRACTION_STEP);
        classLoads.updateShedFractions(
                shedFraction,
                classIndex -> context.settings().classes().get(classIndex).priorityWeight(),
                context.settings().weightPerUnitOfWork());
    }

    /**
     * The load of a connection: its known load, reported or expected, or else the mean reported load of its class; 0 if
     * both are unknown.
     */
    double loadOf(TrackedRequest request) {
        return request.knownLoad > 0 ? request.knownLoad : classLoads.meanLoad(request.event.classIndex());
    }

    void onLoadReported(TrackedRequest request, double load) {
        classLoads.onLoadReported(request.event.classIndex(), load);
    }

    /**
     * Whether the client of this request is shed. A hash of the client key decides, so that the same clients are shed
     * each time and all others are served completely.
     */
    boolean shouldShed(TrackedRequest request) {
        if (shedFraction <= 0) {
            return false;
        }
        double overQuotaFraction =
                context.settings().overQuotaWeight() < 1 ? tenantQuotas.excessFraction(request.event.tenantIndex()) : 0;
        double fraction = Math.max(classLoads.shedFraction(request.event.classIndex()), overQuotaFraction);
        return SeededRandom.toUnitInterval(SeededRandom.mix(SeededRandom.hash(request.clientKey))) < fraction;
    }
}
