package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.Tenant;

/**
 * The tenants by name. A tenant keeps its position for the life of the process, as the load balancer keeps its state by
 * position. Used on the event loop's thread only.
 */
public final class TenantRegistry {
    /**
     * One tenant as its directory lists it.
     *
     * @param serviceShare its quota of the service
     * @param connectionQuota open connections within its quota, over all relays
     */
    public record Entry(String name, double serviceShare, double connectionQuota) {}

    private final List<Entry> entries = new ArrayList<>();

    /**
     * Replaces the list. A tenant that is no longer listed keeps its position with a quota of 0, which the load
     * balancer takes for none stated. Returns whether anything changed.
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

    /** The tenant's position; -1 for one that is not known. */
    public int indexOf(String name) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** A copy of all tenants, by position; one that is no longer listed has a quota of 0. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    List<Tenant> forBalancer() {
        return entries.stream()
                .map(entry -> new Tenant(entry.connectionQuota(), entry.serviceShare()))
                .toList();
    }
}
