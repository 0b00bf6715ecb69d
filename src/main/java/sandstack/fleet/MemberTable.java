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
 * <p>One thread; O(members squared) a look at all, O(1) an event. Of the gone the last {@link #GONE_KEPT} are kept.
 */
public final class MemberTable {
    static final int GONE_KEPT = 64;

    /** What is held of one incarnation. */
    private static final class Entry {
        final Incarnation life;
        /** Whether the library holds it. */
        boolean held = true;

        boolean left;
        /** Told of by others, and nobody has said yet that they reach it. */
        boolean unmet;

        long since;
        /** As it was last shown, and since when it is shown so. */
        MemberStatus shown;

        long shownSince;

        Entry(Incarnation life, long since) {
            this.life = life;
            this.since = since;
        }
    }

    /** What a member says of its own reach. */
    private record ReachReport(Set<String> reached, Set<String> unreached) {}

    /**
     * How one life stands.
     *
     * @param since when that began here, of the caller's clock
     * @param reached how many members with a say reach it
     * @param voices how many members have a say about it
     * @param against names of those who do not reach it
     */
    public record Row(
            Incarnation life, MemberStatus standing, long since, int reached, int voices, List<String> against) {}

    private final Incarnation self;
    private final long began;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, ReachReport> says = new HashMap<>();

    /** Creates a table of this member alone, from {@code now} on. */
    public MemberTable(Incarnation self, long now) {
        this.self = self;
        this.began = now;
        added(self, now);
    }

    /** This member's own incarnation. */
    public Incarnation self() {
        return self;
    }

    /** The library has this life for a member. */
    public void added(Incarnation life, long now) {
        Entry entry = entries.get(life.id());
        if (entry == null) {
            entries.put(life.id(), new Entry(life, now));
        } else if (!entry.left && !entry.held) {
            // behind a cut it lived on: the same life, not a new one
            entry.held = true;
            entry.since = now;
        }
    }

    /** Others know this life; returns whether it is new here. It is present as far as somebody says that they reach it. */
    public boolean toldOf(Incarnation life, long now) {
        if (entries.containsKey(life.id())) {
            return false;
        }
        Entry entry = new Entry(life, now);
        entry.held = false;
        entry.unmet = true;
        entries.put(life.id(), entry);
        forgetOldest();
        return true;
    }

    /** The life said that it goes. */
    public void left(String id, long now) {
        gone(id, true, now);
    }

    /**
     * The library gave it up; one that had said that it goes has left. The library asks through one other member and
     * takes back what it gave up only by a word with the member itself: one that others reach stays, by their word.
     */
    public void removed(String id, long now) {
        gone(id, false, now);
    }

    private void gone(String id, boolean left, long now) {
        Entry entry = entries.get(id);
        if (entry == null || entry.left || id.equals(self.id())) {
            return;
        }
        entry.left = left;
        entry.held = false;
        entry.since = now;
        says.remove(id);
        forgetOldest();
    }

    private void forgetOldest() {
        List<Entry> gone = new ArrayList<>(entries.values().stream()
                .filter(e -> !present(e))
                .sorted(Comparator.comparingLong(e -> e.since))
                .toList());
        for (int i = 0; i < gone.size() - GONE_KEPT; i++) {
            entries.remove(gone.get(i).life.id());
        }
    }

    /**
     * What a member says of its reach. The word of one that neither the library holds nor this one reaches does not count:
     * it may be old.
     *
     * @param reached whom it reaches itself
     * @param unreached whom it asks in vain
     */
    public void says(String id, Set<String> reached, Set<String> unreached) {
        Entry entry = entries.get(id);
        if (entry != null && (entry.held || reachedHere(id))) {
            says.put(id, new ReachReport(Set.copyOf(reached), Set.copyOf(unreached)));
        }
    }

    /** Whether this member reaches it itself. */
    private boolean reachedHere(String id) {
        ReachReport own = says.get(self.id());
        return own != null && own.reached().contains(id);
    }

    /** Whether it is a member now. */
    boolean present(String id) {
        Entry entry = entries.get(id);
        return entry != null && present(entry);
    }

    private boolean present(Entry e) {
        return !e.left
                && (e.held
                        || says.values().stream().anyMatch(say -> say.reached().contains(e.life.id())));
    }

    /** Ids of all members but this one. */
    public List<String> others() {
        return entries.values().stream()
                .filter(e -> present(e) && e.life != self)
                .map(e -> e.life.id())
                .toList();
    }

    /** The life with this id, gone or not; null where there is none. */
    public Incarnation life(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.life;
    }

    /** How all stand, by name and then by age. */
    public List<Row> lines(long now) {
        List<Row> lines = new ArrayList<>();
        for (Entry e : entries.values()) {
            String id = e.life.id();
            e.unmet &= !present(e) && !e.left;
            if (e.unmet) {
                continue;
            }
            List<String> against = new ArrayList<>();
            int voices = 0;
            for (Map.Entry<String, ReachReport> say : says.entrySet()) {
                // whoever is not reached itself by us has its word all the same: it came by others
                boolean not = say.getValue().unreached().contains(id);
                if (!say.getKey().equals(id) && (not || say.getValue().reached().contains(id))) {
                    voices++;
                    if (not) {
                        against.add(entries.get(say.getKey()).life.name());
                    }
                }
            }
            against.sort(null);
            boolean some = against.size() < voices;
            boolean met = e.held || reachedHere(id) && against.isEmpty();
            MemberStatus is = e.left
                    ? MemberStatus.LEFT
                    : !met
                            ? some ? MemberStatus.PARTLY : MemberStatus.LOST
                            : against.isEmpty()
                                    ? MemberStatus.ALIVE
                                    : some ? MemberStatus.PARTLY : MemberStatus.SUSPECT;
            if (e.shown != is) {
                e.shown = is;
                e.shownSince = e.life == self ? began : now;
            }
            lines.add(new Row(e.life, is, e.shownSince, voices - against.size(), voices, against));
        }
        lines.sort(Comparator.comparing((Row l) -> l.life().name())
                .thenComparingLong(Row::since)
                .thenComparing(l -> l.life().id()));
        return lines;
    }
}
