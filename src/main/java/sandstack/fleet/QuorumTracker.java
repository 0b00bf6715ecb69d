package sandstack.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds on what ground this member stands. How many relays there are is what staff state, never what is seen: a half does
 * not shrink into a whole by losing the other. A relay that others reach and this one does not is neither taken away from
 * what there is nor counted as reached. Any doubt shows at once as {@link QuorumState#UNSURE}; better news has to last.
 *
 * <p>One thread; a look costs O(members squared). No clock, I/O or thread of its own.
 */
public final class QuorumTracker {
    /** A new finding counts once it has lasted so long. */
    public static final long STEADY = 1_500_000;
    /** After a standstill all have been asked anew by then: two rounds and their answers. */
    public static final long ASKED_ANEW = 2 * ReachabilityProbe.ROUND + 500_000;

    private final Set<String> stated = new TreeSet<>();
    private final String self;
    private final long began;
    private long stoodUntil = Long.MIN_VALUE / 2;
    private long stoodFor;
    /** Lives that answered since the last standstill; null where there was none. */
    private Set<String> answered;

    private QuorumState coming;
    private long comingSince;
    private QuorumAssessment last;

    /**
     * Creates a tracker that is unsure at {@code now}.
     *
     * @param relays names of all relays that staff say there are; none: they have not said
     */
    public QuorumTracker(Collection<String> relays, String self, long now) {
        stated.addAll(relays);
        this.self = self;
        this.began = now;
        this.last = new QuorumAssessment(QuorumState.UNSURE, now, now, List.of(self), List.of(), "has just started");
    }

    /** What two members compare, to see whether staff told them of the same relays. */
    public String statedAs() {
        return stated.isEmpty()
                ? ""
                : stated.size() + ":"
                        + Integer.toHexString(String.join(",", stated).hashCode());
    }

    /** Whether staff say that there is such a relay. */
    public boolean states(String name) {
        return stated.contains(name);
    }

    /** This process did not run for a while. */
    public void stoodStill(long gap, long now) {
        stoodUntil = now;
        stoodFor = gap;
        answered = new HashSet<>();
    }

    /** A life answered this member itself. */
    public void answered(String life) {
        if (answered != null) {
            answered.add(life);
        }
    }

    /**
     * Looks.
     *
     * @param lines how all stand
     * @param reached ids of the lives that this member reaches itself
     * @param statedBy what each life says it was told of relays, see {@link #statedAs}
     * @param out names that staff have taken out
     */
    public QuorumAssessment look(
            List<MemberTable.Row> lines, Set<String> reached, Map<String, String> statedBy, Set<String> out, long now) {
        Set<String> all = new TreeSet<>(stated);
        Map<String, MemberTable.Row> with = new HashMap<>();
        String differs = null;
        Set<String> present = new HashSet<>();
        for (MemberTable.Row line : lines) {
            String name = line.life().name();
            if (line.standing().present()) {
                present.add(name);
            }
            boolean here = name.equals(self)
                    ? line.standing().present()
                    : reached.contains(line.life().id())
                            && line.standing().present()
                            && (answered == null
                                    || answered.contains(line.life().id()));
            if (here && stated.contains(name)) {
                with.put(name, line);
                String theirs = statedBy.getOrDefault(line.life().id(), "");
                differs = differs == null && !theirs.isEmpty() && !theirs.equals(statedAs()) ? name : differs;
            }
        }
        all.removeIf(name -> out.contains(name) && !present.contains(name));
        List<String> without =
                all.stream().filter(name -> !with.containsKey(name)).toList();
        String apart = null;
        int core = 0;
        for (Map.Entry<String, MemberTable.Row> one : with.entrySet()) {
            List<String> against =
                    one.getValue().against().stream().filter(with::containsKey).toList();
            core += against.isEmpty() ? 1 : 0;
            apart = against.isEmpty() ? apart : against.get(0) + " does not reach " + one.getKey();
        }
        boolean most = 2 * with.size() > all.size();
        String doubt = most && 2 * core <= all.size()
                ? "views differ: " + apart
                : differs != null ? differs + " was told of other relays than this one" : null;
        String doubtOfSelf = doubtOfSelf(with.size() - 1, now);
        doubt = doubtOfSelf != null ? doubtOfSelf : doubt;
        String why = doubt != null ? doubt : with.size() + " of " + all.size() + " stated relays are reached";
        QuorumState ground = doubt != null
                ? QuorumState.UNSURE
                : core == all.size()
                        ? QuorumState.WHOLE
                        : most ? QuorumState.MOST : with.size() == 1 ? QuorumState.ALONE : QuorumState.FEW;
        if (ground != coming) {
            coming = ground;
            comingSince = now;
        }
        boolean steady = ground == QuorumState.UNSURE || ground == last.ground() || now - comingSince >= STEADY;
        QuorumState shown = steady ? ground : QuorumState.UNSURE;
        last = new QuorumAssessment(
                shown,
                shown == last.ground() ? last.since() : now,
                now,
                List.copyOf(new TreeSet<>(with.keySet())),
                without,
                steady ? why : "has just changed: " + why);
        return last;
    }

    /** Why nothing follows from what this member sees, whatever that is; null where something does. */
    private String doubtOfSelf(int others, long now) {
        if (stated.isEmpty()) {
            return "staff have not said which relays there are";
        } else if (!stated.contains(self)) {
            return "this relay is not among those that staff state";
        } else if (now - began < Membership.SETTLES) {
            return "has just started";
        }
        return now - stoodUntil >= ASKED_ANEW
                ? null
                : "this process stood still for " + stoodFor / 1_000_000 + " s; " + others + " have answered since";
    }
}
