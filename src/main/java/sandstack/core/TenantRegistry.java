package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import sandstack.decisions.Tenant;

/** The tenants by name. A tenant keeps its position for good, so that what the module holds of it stays right. */
public final class TenantRegistry {
    /**
     * One tenant as its directory has it.
     *
     * @param serviceShare its part of the service
     * @param connectionQuota open connections within its share, over all relays
     */
    public record Entry(String name, double serviceShare, double connectionQuota) {}

    private final List<Entry> entries = new ArrayList<>();

    /** Takes a new list. Who is no longer on it has no share left. Returns whether anything changed. */
    boolean replace(List<Entry> listed) {
        List<Entry> before = List.copyOf(entries);
        entries.replaceAll(old -> new Entry(old.name(), 0, 0));
        for (Entry entry : listed) {
            int at = indexOf(entry.name());
            if (at < 0) {
                entries.add(entry);
            } else {
                entries.set(at, entry);
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

    /** A copy of all tenants, by position; one that is no longer listed has a share of 0. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    List<Tenant> forBalancer() {
        return entries.stream()
                .map(e -> new Tenant(e.connectionQuota(), e.serviceShare()))
                .toList();
    }
}
