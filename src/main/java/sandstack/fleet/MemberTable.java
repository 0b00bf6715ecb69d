package sandstack.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The membership table: all incarnations known to this member, and the status of each. A status combines three sources:
 * the members that the library lists, those that this member reaches directly, and those that other members report as
 * reachable. An incarnation that is known only by gossip counts like a listed one as soon as this member has received
 * its response to a probe, even if the library discovers it much later.
 *
 * <p>Guarantees: an incarnation that has left never becomes a member again, because a restart has another id; members
 * that have received the same reports derive the same status; clocks of different machines are never compared. Not
 * guaranteed: that two members have the same table at the same moment. During a partition each side reports the other
 * as lost.
 *
 * <p>Not thread-safe. {@link #rows} costs O(members squared) and so do events that may evict departed members; other
 * events cost O(members) at most. Only the latest {@link #MAX_DEPARTED} departed members are retained.
 */
public final class MemberTable {
    static final int MAX_DEPARTED = 64;

    /** The table's state of one incarnation. */
    private static final class Entry {
        final Incarnation incarnation;
        boolean listedByLibrary = true;
        boolean left;
        /** Known only by gossip: no member has reported that it reaches it. */
        boolean unconfirmed;

        /** When it was last added, removed or left; not when its status changed. */
        long listingChangedAtMicros;

        /** The status in the last {@link #rows}; null before the first. */
        MemberStatus lastStatus;

        long lastStatusSinceMicros;

        Entry(Incarnation incarnation, long listingChangedAtMicros) {
            this.incarnation = incarnation;
            this.listingChangedAtMicros = listingChangedAtMicros;
        }
    }

    /** The members that one member reports as reachable and as unreachable, by incarnation id. */
    private record ReachReport(Set<String> reachable, Set<String> unreachable) {}

    /**
     * One incarnation and its status.
     *
     * @param sinceMicros when it got this status in this table, by the caller's clock
     * @param reachableCount number of reporters that reach it
     * @param reporterCount number of members that report it as reachable or unreachable
     * @param unreachableFrom names of the reporters that do not reach it
     */
    public record Row(
            Incarnation incarnation,
            MemberStatus status,
            long sinceMicros,
            int reachableCount,
            int reporterCount,
            List<String> unreachableFrom) {}

    private final Incarnation self;
    private final long createdAtMicros;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** The last report of each member, including this one, by the incarnation id of the reporter. */
    private final Map<String, ReachReport> reachReports = new HashMap<>();

    /** Creates a table that contains only this member. */
    public MemberTable(Incarnation self, long nowMicros) {
        this.self = self;
        this.createdAtMicros = nowMicros;
        memberAdded(self, nowMicros);
    }

    /** This member's own incarnation. */
    public Incarnation self() {
        return self;
    }

    /** The library has added this incarnation to its members, for the first time or after a partition. */
    public void memberAdded(Incarnation incarnation, long nowMicros) {
        Entry entry = entries.get(incarnation.id());
        if (entry == null) {
            entries.put(incarnation.id(), new Entry(incarnation, nowMicros));
        } else if (!entry.left && !entry.listedByLibrary) {
            entry.listedByLibrary = true;
            entry.listingChangedAtMicros = nowMicros;
        }
    }

    /**
     * Adds an incarnation that is known from gossip. It counts as a member while any member reports that it reaches it.
     *
     * @return whether the table did not contain it before
     */
    public boolean memberDiscovered(Incarnation incarnation, long nowMicros) {
        if (entries.containsKey(incarnation.id())) {
            return false;
        }
        Entry entry = new Entry(incarnation, nowMicros);
        entry.listedByLibrary = false;
        entry.unconfirmed = true;
        entries.put(incarnation.id(), entry);
        evictOldestDeparted();
        return true;
    }

    /** The incarnation has announced that it leaves. */
    public void memberLeft(String id, long nowMicros) {
        memberDeparted(id, true, nowMicros);
    }

    /**
     * The library has removed the incarnation; ignored if the incarnation has left. The library probes indirectly
     * through only a few members, and withdraws a suspicion only after contact with the suspected member itself. It may
     * therefore remove a member that others reach; it remains a member in this table because of their reports.
     */
    public void memberRemoved(String id, long nowMicros) {
        memberDeparted(id, false, nowMicros);
    }

    private void memberDeparted(String id, boolean left, long nowMicros) {
        Entry entry = entries.get(id);
        if (entry == null || entry.left || id.equals(self.id())) {
            return;
        }
        entry.left = left;
        entry.listedByLibrary = false;
        entry.listingChangedAtMicros = nowMicros;
        reachReports.remove(id);
        evictOldestDeparted();
    }

    private void evictOldestDeparted() {
        List<Entry> departed = entries.values().stream()
                .filter(entry -> !isMember(entry))
                .sorted(Comparator.comparingLong(entry -> entry.listingChangedAtMicros))
                .toList();
        for (int i = 0; i < departed.size() - MAX_DEPARTED; i++) {
            entries.remove(departed.get(i).incarnation.id());
        }
    }

    /**
     * Replaces the reachability report of a member. Ignored if the library does not list the reporter and this member
     * does not reach it, because the report may be stale.
     *
     * @param id incarnation id of the reporter
     * @param reachable ids that it reaches directly
     * @param unreachable ids whose probes time out
     */
    public void reachReported(String id, Set<String> reachable, Set<String> unreachable) {
        Entry entry = entries.get(id);
        if (entry != null && (entry.listedByLibrary || reachableFromSelf(id))) {
            reachReports.put(id, new ReachReport(Set.copyOf(reachable), Set.copyOf(unreachable)));
        }
    }

    private boolean reachableFromSelf(String id) {
        ReachReport own = reachReports.get(self.id());
        return own != null && own.reachable().contains(id);
    }

    /** Whether the incarnation with this id is currently a member. */
    boolean isMember(String id) {
        Entry entry = entries.get(id);
        return entry != null && isMember(entry);
    }

    private boolean isMember(Entry entry) {
        return !entry.left
                && (entry.listedByLibrary
                        || reachReports.values().stream()
                                .anyMatch(report -> report.reachable().contains(entry.incarnation.id())));
    }

    /** Incarnation ids of all members except this one. */
    public List<String> otherMemberIds() {
        return entries.values().stream()
                .filter(entry -> isMember(entry) && !entry.incarnation.equals(self))
                .map(entry -> entry.incarnation.id())
                .toList();
    }

    /** The incarnation with this id, departed or not; null if it is not known. */
    public Incarnation incarnation(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.incarnation;
    }

    /**
     * All incarnations and their status, ordered by name and then by how long they have had the status, longest first.
     */
    public List<Row> rows(long nowMicros) {
        List<Row> rows = new ArrayList<>();
        for (Entry entry : entries.values()) {
            entry.unconfirmed &= !isMember(entry) && !entry.left;
            if (!entry.unconfirmed) {
                rows.add(row(entry, nowMicros));
            }
        }
        rows.sort(Comparator.comparing((Row row) -> row.incarnation().name())
                .thenComparingLong(Row::sinceMicros)
                .thenComparing(row -> row.incarnation().id()));
        return rows;
    }

    private Row row(Entry entry, long nowMicros) {
        String id = entry.incarnation.id();
        List<String> unreachableFrom = new ArrayList<>();
        int reporterCount = 0;
        // this member need not reach the reporter: reports also arrive by gossip
        for (Map.Entry<String, ReachReport> report : reachReports.entrySet()) {
            boolean unreachable = report.getValue().unreachable().contains(id);
            boolean reported = unreachable || report.getValue().reachable().contains(id);
            if (!reported || report.getKey().equals(id)) {
                continue;
            }
            reporterCount++;
            if (unreachable) {
                unreachableFrom.add(entries.get(report.getKey()).incarnation.name());
            }
        }
        unreachableFrom.sort(null);
        int reachableCount = reporterCount - unreachableFrom.size();
        MemberStatus status = status(entry, reachableCount, unreachableFrom.isEmpty());
        if (entry.lastStatus != status) {
            entry.lastStatus = status;
            entry.lastStatusSinceMicros = entry.incarnation.equals(self) ? createdAtMicros : nowMicros;
        }
        return new Row(
                entry.incarnation, status, entry.lastStatusSinceMicros, reachableCount, reporterCount, unreachableFrom);
    }

    private MemberStatus status(Entry entry, int reachableCount, boolean reachableFromAll) {
        if (entry.left) {
            return MemberStatus.LEFT;
        }
        boolean present = entry.listedByLibrary || (reachableFromSelf(entry.incarnation.id()) && reachableFromAll);
        if (present && reachableFromAll) {
            return MemberStatus.ALIVE;
        }
        if (reachableCount > 0) {
            return MemberStatus.PARTIALLY_REACHABLE;
        }
        return present ? MemberStatus.SUSPECT : MemberStatus.LOST;
    }
}
