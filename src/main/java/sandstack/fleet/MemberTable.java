package sandstack.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All lives that this member has heard of, and how each stands. Three things are put together: whom the library holds
 * for a member, whom this one reaches itself, and whom the others say that they reach. Who is told of by others counts
 * as soon as this one has had its answer, however late the library meets it.
 *
 * <p>What it promises: a life that is gone never comes back (a restart has another id); where all members tell each
 * other the same, all derive the same standing; nothing follows from comparing clocks of two machines. It does not
 * promise that two members agree at one moment: while a cut lasts, both sides call the other lost.
 *
 * <p>One thread; O(members squared) a look at all, O(1) an event. Of the gone the last {@link #MAX_DEPARTED} are kept.
 */
public final class MemberTable {
    static final int MAX_DEPARTED = 64;

    /** What is held of one incarnation. */
    private static final class Entry {
        final Incarnation incarnation;
        /** Whether the library holds it. */
        boolean listedByLibrary = true;

        boolean left;
        /** Told of by others, and nobody has said yet that they reach it. */
        boolean unconfirmed;

        long sinceMicros;
        /** As it was last shown, and since when it is shown so. */
        MemberStatus lastStatus;

        long lastStatusSinceMicros;

        Entry(Incarnation incarnation, long sinceMicros) {
            this.incarnation = incarnation;
            this.sinceMicros = sinceMicros;
        }
    }

    /** What a member says of its own reach. */
    private record ReachReport(Set<String> reachable, Set<String> unreachable) {}

    /**
     * How one life stands.
     *
     * @param sinceMicros when that began here, of the caller's clock
     * @param reachableCount how many members with a say reach it
     * @param reporterCount how many members have a say about it
     * @param unreachableFrom names of those who do not reach it
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
    private final Map<String, ReachReport> reachReports = new HashMap<>();

    /** Creates a table of this member alone, from {@code now} on. */
    public MemberTable(Incarnation self, long nowMicros) {
        this.self = self;
        this.createdAtMicros = nowMicros;
        memberAdded(self, nowMicros);
    }

    /** This member's own incarnation. */
    public Incarnation self() {
        return self;
    }

    /** The library has this life for a member. */
    public void memberAdded(Incarnation incarnation, long nowMicros) {
        Entry entry = entries.get(incarnation.id());
        if (entry == null) {
            entries.put(incarnation.id(), new Entry(incarnation, nowMicros));
        } else if (!entry.left && !entry.listedByLibrary) {
            // behind a cut it lived on: the same life, not a new one
            entry.listedByLibrary = true;
            entry.sinceMicros = nowMicros;
        }
    }

    /** Others know this life; returns whether it is new here. It is present as far as somebody says that they reach it. */
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

    /** The life said that it goes. */
    public void memberLeft(String id, long nowMicros) {
        memberDeparted(id, true, nowMicros);
    }

    /**
     * The library gave it up; one that had said that it goes has left. The library asks through one other member and
     * takes back what it gave up only by a word with the member itself: one that others reach stays, by their word.
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
        entry.sinceMicros = nowMicros;
        reachReports.remove(id);
        evictOldestDeparted();
    }

    private void evictOldestDeparted() {
        List<Entry> gone = new ArrayList<>(entries.values().stream()
                .filter(entry -> !isMember(entry))
                .sorted(Comparator.comparingLong(entry -> entry.sinceMicros))
                .toList());
        for (int i = 0; i < gone.size() - MAX_DEPARTED; i++) {
            entries.remove(gone.get(i).incarnation.id());
        }
    }

    /**
     * What a member says of its reach. The word of one that neither the library holds nor this one reaches does not count:
     * it may be old.
     *
     * @param reachable whom it reaches itself
     * @param unreachable whom it asks in vain
     */
    public void reachReported(String id, Set<String> reachable, Set<String> unreachable) {
        Entry entry = entries.get(id);
        if (entry != null && (entry.listedByLibrary || reachableFromSelf(id))) {
            reachReports.put(id, new ReachReport(Set.copyOf(reachable), Set.copyOf(unreachable)));
        }
    }

    /** Whether this member reaches it itself. */
    private boolean reachableFromSelf(String id) {
        ReachReport own = reachReports.get(self.id());
        return own != null && own.reachable().contains(id);
    }

    /** Whether it is a member now. */
    boolean isMember(String id) {
        Entry entry = entries.get(id);
        return entry != null && isMember(entry);
    }

    private boolean isMember(Entry entry) {
        return !entry.left
                && (entry.listedByLibrary
                        || reachReports.values().stream()
                                .anyMatch(say -> say.reachable().contains(entry.incarnation.id())));
    }

    /** Ids of all members but this one. */
    public List<String> otherMemberIds() {
        return entries.values().stream()
                .filter(entry -> isMember(entry) && entry.incarnation != self)
                .map(entry -> entry.incarnation.id())
                .toList();
    }

    /** The life with this id, gone or not; null where there is none. */
    public Incarnation incarnation(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.incarnation;
    }

    /** How all stand, by name and then by age. */
    public List<Row> rows(long nowMicros) {
        List<Row> rows = new ArrayList<>();
        for (Entry entry : entries.values()) {
            String id = entry.incarnation.id();
            entry.unconfirmed &= !isMember(entry) && !entry.left;
            if (entry.unconfirmed) {
                continue;
            }
            List<String> against = new ArrayList<>();
            int voices = 0;
            for (Map.Entry<String, ReachReport> say : reachReports.entrySet()) {
                // whoever is not reached itself by us has its word all the same: it came by others
                boolean not = say.getValue().unreachable().contains(id);
                if (!say.getKey().equals(id)
                        && (not || say.getValue().reachable().contains(id))) {
                    voices++;
                    if (not) {
                        against.add(entries.get(say.getKey()).incarnation.name());
                    }
                }
            }
            against.sort(null);
            boolean some = against.size() < voices;
            boolean met = entry.listedByLibrary || reachableFromSelf(id) && against.isEmpty();
            MemberStatus is = entry.left
                    ? MemberStatus.LEFT
                    : !met
                            ? some ? MemberStatus.PARTIALLY_REACHABLE : MemberStatus.LOST
                            : against.isEmpty()
                                    ? MemberStatus.ALIVE
                                    : some ? MemberStatus.PARTIALLY_REACHABLE : MemberStatus.SUSPECT;
            if (entry.lastStatus != is) {
                entry.lastStatus = is;
                entry.lastStatusSinceMicros = entry.incarnation == self ? createdAtMicros : nowMicros;
            }
            rows.add(new Row(
                    entry.incarnation, is, entry.lastStatusSinceMicros, voices - against.size(), voices, against));
        }
        rows.sort(Comparator.comparing((Row l) -> l.incarnation().name())
                .thenComparingLong(Row::sinceMicros)
                .thenComparing(l -> l.incarnation().id()));
        return rows;
    }
}
