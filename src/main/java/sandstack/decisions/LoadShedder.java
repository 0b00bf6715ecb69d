package sandstack.decisions;

import java.util.Collection;
import java.util.List;
import sandstack.capacity.ClassLoads;
import sandstack.capacity.TenantQuotas;
import sandstack.random.SeededRandom;

/**
 * Sheds a fraction of the load while most of the fleet is overloaded, where neither placement nor migration can help.
 * Load goes in the order of least priority weight per load. Of a tenant that is over its quota at least the excess
 * goes, where the settings give such traffic a lower weight at all. One thread; an update costs O(requests), the rest
 * O(1).
 */
final class LoadShedder {
    /** Fraction of the load that each update sheds in addition while the fleet is overloaded. */
    private static final double SHED_FRACTION_STEP = 0.2;
    /** Fraction that each update sheds less afterwards: slower, lest the overload returns at once. */
    private static final double RECOVERY_FRACTION_STEP = SHED_FRACTION_STEP / 8;
    /** The most that is shed: some load is always served. */
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

    /** Adjusts the fraction to shed; while none is shed, also the load by class that it is taken from. */
    void update(Collection<TrackedRequest> requests, boolean fleetOverloaded) {
        boolean calm = shedFraction == 0 && !fleetOverloaded;
        if (calm) {
            classLoads.clearEstablishedLoads();
        }
        for (TrackedRequest request : requests) {
            if (request.state == TrackedRequest.State.ESTABLISHED) {
                classLoads.addEstablishedLoad(request.event.classIndex(), calm ? loadOf(request) : 0);
                tenantQuotas.addConnection(request.event.tenantIndex());
            }
        }
        tenantQuotas.update(context.settings().instanceCount());
        if (!calm) {
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

    /** The load of a connection: as reported, else the mean of its class; 0 where neither is known. */
    double loadOf(TrackedRequest request) {
        return request.reportedLoad > 0 ? request.reportedLoad : classLoads.meanLoad(request.event.classIndex());
    }

    void onLoadReported(TrackedRequest request, double load) {
        classLoads.onLoadReported(request.event.classIndex(), load);
    }

    /** Decided by a hash of the client key, so that the same clients are shed and the others served completely. */
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
