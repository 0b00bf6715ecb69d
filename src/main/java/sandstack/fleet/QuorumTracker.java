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
 * what there is nor counted as reached. Any doubt shows at once as {@link QuorumState#UNKNOWN}; better news has to last.
 *
 * <p>One thread; a look costs O(members squared). No clock, I/O or thread of its own.
 */
public final class QuorumTracker {
    /** A new finding counts once it has lasted so long. */
    public static final long STABILITY_WINDOW_MICROS = 1_500_000;
    /** After a standstill all have been asked anew by then: two rounds and their answers. */
    public static final long RECHECK_MICROS = 2 * ReachabilityProbe.MIN_ROUND_MICROS + 500_000;

    private final Set<String> configuredRelays = new TreeSet<>();
    private final String selfName;
    private final long createdAtMicros;
    private long resumedAtMicros = Long.MIN_VALUE / 2;
    private long stallMicros;
    /** Lives that answered since the last standstill; null where there was none. */
    private Set<String> answeredSinceStall;

    private QuorumState candidate;
    private long candidateSinceMicros;
    private QuorumAssessment lastAssessment;

    /**
     * Creates a tracker that is unsure at {@code now}.
     *
     * @param configuredRelays names of all relays that staff say there are; none: they have not said
     */
    public QuorumTracker(Collection<String> configuredRelays, String selfName, long nowMicros) {
        this.configuredRelays.addAll(configuredRelays);
        this.selfName = selfName;
        this.createdAtMicros = nowMicros;
        this.lastAssessment = new QuorumAssessment(
                QuorumState.UNKNOWN, nowMicros, nowMicros, List.of(selfName), List.of(), "has just started");
    }

    /** What two members compare, to see whether staff told them of the same relays. */
    public String configurationDigest() {
        return configuredRelays.isEmpty()
                ? ""
                : configuredRelays.size() + ":"
                        + Integer.toHexString(String.join(",", configuredRelays).hashCode());
    }

    /** Whether staff say that there is such a relay. */
    public boolean isConfigured(String name) {
        return configuredRelays.contains(name);
    }

    /** This process did not run for a while. */
    public void processStalled(long stallMicros, long nowMicros) {
        resumedAtMicros = nowMicros;
        this.stallMicros = stallMicros;
        answeredSinceStall = new HashSet<>();
    }

    /** A life answered this member itself. */
    public void probeAnswered(String id) {
        if (answeredSinceStall != null) {
            answeredSinceStall.add(id);
        }
    }

    /**
     * Looks.
     *
     * @param rows how all stand
     * @param reachableIds ids of the lives that this member reaches itself
     * @param digests what each life says it was told of relays, see {@link #configurationDigest}
     * @param decommissioned names that staff have taken out
     */
    public QuorumAssessment assess(
            List<MemberTable.Row> rows,
            Set<String> reachableIds,
            Map<String, String> digests,
            Set<String> decommissioned,
            long nowMicros) {
        Set<String> expected = new TreeSet<>(configuredRelays);
        Map<String, MemberTable.Row> reachable = new HashMap<>();
        String differs = null;
        Set<String> memberNames = new HashSet<>();
        for (MemberTable.Row row : rows) {
            String name = row.incarnation().name();
            if (row.status().isMember()) {
                memberNames.add(name);
            }
            boolean here = name.equals(selfName)
                    ? row.status().isMember()
                    : reachableIds.contains(row.incarnation().id())
                            && row.status().isMember()
                            && (answeredSinceStall == null
                                    || answeredSinceStall.contains(
                                            row.incarnation().id()));
            if (here && configuredRelays.contains(name)) {
                reachable.put(name, row);
                String theirs = digests.getOrDefault(row.incarnation().id(), "");
                differs =
                        differs == null && !theirs.isEmpty() && !theirs.equals(configurationDigest()) ? name : differs;
            }
        }
        expected.removeIf(name -> decommissioned.contains(name) && !memberNames.contains(name));
        List<String> unreachable =
                expected.stream().filter(name -> !reachable.containsKey(name)).toList();
        String apart = null;
        int core = 0;
        for (Map.Entry<String, MemberTable.Row> one : reachable.entrySet()) {
            List<String> against = one.getValue().unreachableFrom().stream()
                    .filter(reachable::containsKey)
                    .toList();
            core += against.isEmpty() ? 1 : 0;
            apart = against.isEmpty() ? apart : against.get(0) + " does not reach " + one.getKey();
        }
        boolean most = 2 * reachable.size() > expected.size();
        String doubt = most && 2 * core <= expected.size()
                ? "views differ: " + apart
                : differs != null ? differs + " was told of other relays than this one" : null;
        String doubtOfSelf = reasonToDistrustSelf(reachable.size() - 1, nowMicros);
        doubt = doubtOfSelf != null ? doubtOfSelf : doubt;
        String why = doubt != null ? doubt : reachable.size() + " of " + expected.size() + " stated relays are reached";
        QuorumState state = doubt != null
                ? QuorumState.UNKNOWN
                : core == expected.size()
                        ? QuorumState.COMPLETE
                        : most
                                ? QuorumState.MAJORITY
                                : reachable.size() == 1 ? QuorumState.ISOLATED : QuorumState.MINORITY;
        if (state != candidate) {
            candidate = state;
            candidateSinceMicros = nowMicros;
        }
        boolean steady = state == QuorumState.UNKNOWN
                || state == lastAssessment.state()
                || nowMicros - candidateSinceMicros >= STABILITY_WINDOW_MICROS;
        QuorumState shown = steady ? state : QuorumState.UNKNOWN;
        lastAssessment = new QuorumAssessment(
                shown,
                shown == lastAssessment.state() ? lastAssessment.sinceMicros() : nowMicros,
                nowMicros,
                List.copyOf(new TreeSet<>(reachable.keySet())),
                unreachable,
                steady ? why : "has just changed: " + why);
        return lastAssessment;
    }

    /** Why nothing follows from what this member sees, whatever that is; null where something does. */
    private String reasonToDistrustSelf(int others, long nowMicros) {
        if (configuredRelays.isEmpty()) {
            return "staff have not said which relays there are";
        } else if (!configuredRelays.contains(selfName)) {
            return "this relay is not among those that staff state";
        } else if (nowMicros - createdAtMicros < Membership.NAME_CLAIM_MICROS) {
            return "has just started";
        }
        return nowMicros - resumedAtMicros >= RECHECK_MICROS
                ? null
                : "this process stood still for " + stallMicros / 1_000_000 + " s; " + others + " have answered since";
    }
}
