package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.Tenant;

/**
 * The tenants by name and position. A tenant keeps its position until the process ends, because the load balancer's
 * per-tenant state is indexed by it. Used on the event loop's thread only.
 */
public final class TenantRegistry {
    /**
     * One tenant as listed in the directory.
     *
     * @param serviceShare the tenant's quota as a share of the service; 0 if not stated
     * @param connectionQuota the tenant's quota of open connections over all relays; 0 if not stated
     */
    public record Entry(String name, double serviceShare, double connectionQuota) {}

    private final List<Entry> entries = new ArrayList<>();

    /**
     * Replaces the list and returns whether anything changed. A tenant that is no longer listed keeps its position with
     * quotas of 0, which the load balancer treats as not stated.
     */
    boolean replace(List<Entry> listedEntries) {
        List<Entry> before = List.copyOf(entries);
        entries.replaceAll(entry -> new Entry(entry.name(), 0, 0));
        for (Entry entry : listedEntries) {
            int position = indexOf(entry.name());
            if (position < 0) {
                entries.add(entry);
            } else {
                entries.set(position, entry);
            }
        }
        return !before.equals(entries);
    }

    /** The tenant's position; -1 if it has never been listed. */
    public int indexOf(String name) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** An immutable copy of all tenants by position; those that are no longer listed have quotas of 0. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    List<Tenant> forBalancer() {
        return entries.stream()
                .map(entry -> new Tenant(entry.connectionQuota(), entry.serviceShare()))
                .toList();
    }
}
