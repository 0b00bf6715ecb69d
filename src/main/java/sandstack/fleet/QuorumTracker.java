package sandstack.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Derives the {@link QuorumState} of this member. The size of the fleet is the number of configured relays without the
 * decommissioned ones, never the number of current members, so a partition cannot become complete by losing the other
 * relays. A relay that other members reach and this one does not is part of that size but does not count as reachable.
 * {@link QuorumState#UNKNOWN} is reported at once; any other new state only after it has lasted for
 * {@link #STABILITY_WINDOW_MICROS}, and {@code UNKNOWN} until then.
 *
 * <p>Not thread-safe. An assessment costs O(members squared).
 */
public final class QuorumTracker {
    /** Time that a new state must last before it is reported. */
    public static final long STABILITY_WINDOW_MICROS = 1_500_000;
    /**
     * Time after a stall during which the state is unknown, so that the members are probed again: two probe rounds of
     * minimum duration and their responses.
     */
    public static final long RECHECK_MICROS = 2 * ReachabilityTracker.MIN_ROUND_MICROS + 500_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Set<String> configuredRelays = new TreeSet<>();
    private final String selfName;
    private final long createdAtMicros;
    private long resumedAtMicros = Long.MIN_VALUE / 2;
    private long stallMicros;
    /** Ids of the incarnations that have answered a probe since the last stall; null before the first stall. */
    private Set<String> answeredSinceStall;

    private QuorumState candidate;
    private long candidateSinceMicros;
    private QuorumAssessment lastAssessment;

    /**
     * Creates a tracker whose state is unknown at {@code nowMicros}.
     *
     * @param configuredRelays names of all relays of the fleet; empty if they are not configured
     * @param selfName name of this relay
     */
    public QuorumTracker(Collection<String> configuredRelays, String selfName, long nowMicros) {
        this.configuredRelays.addAll(configuredRelays);
        this.selfName = selfName;
        this.createdAtMicros = nowMicros;
        this.lastAssessment = new QuorumAssessment(
                QuorumState.UNKNOWN, nowMicros, nowMicros, List.of(selfName), List.of(), "has just started");
    }

    /** A digest by which members compare their configured relays; empty if no relays are configured. */
    public String configurationDigest() {
        return configuredRelays.isEmpty()
                ? ""
                : configuredRelays.size() + ":"
                        + Integer.toHexString(String.join(",", configuredRelays).hashCode());
    }

    /** Whether a relay with this name is configured. */
    public boolean isConfigured(String name) {
        return configuredRelays.contains(name);
    }

    /** Reports that this process did not run for {@code stallMicros}. */
    public void processStalled(long stallMicros, long nowMicros) {
        resumedAtMicros = nowMicros;
        this.stallMicros = stallMicros;
        answeredSinceStall = new HashSet<>();
    }

    /** Reports that the incarnation with this id has answered a probe of this member. */
    public void probeAnswered(String id) {
        if (answeredSinceStall != null) {
            answeredSinceStall.add(id);
        }
    }

    /**
     * Assesses the quorum state at {@code nowMicros}.
     *
     * @param rows the membership table
     * @param reachableIds ids of the incarnations that this member reaches directly
     * @param digests the {@link #configurationDigest} that each incarnation publishes, by id
     * @param decommissioned names of the relays that operators have decommissioned
     */
    public QuorumAssessment assess(
            List<MemberTable.Row> rows,
            Set<String> reachableIds,
            Map<String, String> digests,
            Set<String> decommissioned,
            long nowMicros) {
        Set<String> expected = expectedRelays(rows, decommissioned);
        Map<String, MemberTable.Row> reachable = reachableRelays(rows, reachableIds);
        Connectivity connectivity = connectivity(reachable);
        int reachableCount = reachable.size();
        Optional<String> unknownReason = localProblem(reachableCount - 1, nowMicros)
                .or(() -> viewMismatch(connectivity, reachableCount, expected.size()))
                .or(() -> configurationMismatch(rows, reachableIds, digests));
        QuorumState state = unknownReason.isPresent()
                ? QuorumState.UNKNOWN
                : stateByCount(connectivity.connectedCount(), reachableCount, expected.size());
        String reason =
                unknownReason.orElseGet(() -> reachableCount + " of " + expected.size() + " stated relays are reached");
        boolean stable = isStable(state, nowMicros);
        QuorumState reported = stable ? state : QuorumState.UNKNOWN;
        lastAssessment = new QuorumAssessment(
                reported,
                reported == lastAssessment.state() ? lastAssessment.sinceMicros() : nowMicros,
                nowMicros,
                List.copyOf(new TreeSet<>(reachable.keySet())),
                expected.stream().filter(name -> !reachable.containsKey(name)).toList(),
                stable ? reason : "has just changed: " + reason);
        return lastAssessment;
    }

    /** The configured relays, without the decommissioned ones that are not members again. */
    private Set<String> expectedRelays(List<MemberTable.Row> rows, Set<String> decommissioned) {
        Set<String> memberNames = new HashSet<>();
        for (MemberTable.Row row : rows) {
            if (row.status().isMember()) {
                memberNames.add(row.incarnation().name());
            }
        }
        Set<String> expected = new TreeSet<>(configuredRelays);
        expected.removeIf(name -> decommissioned.contains(name) && !memberNames.contains(name));
        return expected;
    }

    private Map<String, MemberTable.Row> reachableRelays(List<MemberTable.Row> rows, Set<String> reachableIds) {
        Map<String, MemberTable.Row> reachable = new HashMap<>();
        for (MemberTable.Row row : rows) {
            if (isReachableRelay(row, reachableIds)) {
                reachable.put(row.incarnation().name(), row);
            }
        }
        return reachable;
    }

    private boolean isReachableRelay(MemberTable.Row row, Set<String> reachableIds) {
        String id = row.incarnation().id();
        String name = row.incarnation().name();
        if (!row.status().isMember() || !configuredRelays.contains(name)) {
            return false;
        }
        return name.equals(selfName)
                || (reachableIds.contains(id) && (answeredSinceStall == null || answeredSinceStall.contains(id)));
    }

    /**
     * Whether the reachable relays reach each other.
     *
     * @param connectedCount number of relays that no other reachable relay reports as unreachable
     * @param example describes a relay that does not reach another one; null if there is none
     */
    private record Connectivity(int connectedCount, String example) {}

    private static Connectivity connectivity(Map<String, MemberTable.Row> reachable) {
        String example = null;
        int connectedCount = 0;
        for (Map.Entry<String, MemberTable.Row> relay : reachable.entrySet()) {
            List<String> unreachableFrom = relay.getValue().unreachableFrom().stream()
                    .filter(reachable::containsKey)
                    .toList();
            if (unreachableFrom.isEmpty()) {
                connectedCount++;
            } else {
                example = unreachableFrom.get(0) + " does not reach " + relay.getKey();
            }
        }
        return new Connectivity(connectedCount, example);
    }

    /**
     * The reason for which this member cannot assess the quorum state, whichever relays it reaches; empty if there is
     * none.
     */
    private Optional<String> localProblem(int answeredCount, long nowMicros) {
        if (configuredRelays.isEmpty()) {
            return Optional.of("staff have not said which relays there are");
        }
        if (!configuredRelays.contains(selfName)) {
            return Optional.of("this relay is not among those that staff state");
        }
        if (nowMicros - createdAtMicros < Membership.NAME_CLAIM_MICROS) {
            return Optional.of("has just started");
        }
        if (nowMicros - resumedAtMicros < RECHECK_MICROS) {
            return Optional.of("this process stood still for " + stallMicros / MICROS_PER_SECOND + " s; "
                    + answeredCount + " have answered since");
        }
        return Optional.empty();
    }

    /** Views differ if this member reaches a majority of the fleet, but no majority reach each other. */
    private static Optional<String> viewMismatch(Connectivity connectivity, int reachableCount, int expectedCount) {
        return isMajority(reachableCount, expectedCount) && !isMajority(connectivity.connectedCount(), expectedCount)
                ? Optional.of("views differ: " + connectivity.example())
                : Optional.empty();
    }

    private Optional<String> configurationMismatch(
            List<MemberTable.Row> rows, Set<String> reachableIds, Map<String, String> digests) {
        for (MemberTable.Row row : rows) {
            String digest = digests.getOrDefault(row.incarnation().id(), "");
            if (!digest.isEmpty() && isReachableRelay(row, reachableIds) && !digest.equals(configurationDigest())) {
                return Optional.of(row.incarnation().name() + " was told of other relays than this one");
            }
        }
        return Optional.empty();
    }

    private static QuorumState stateByCount(int connectedCount, int reachableCount, int expectedCount) {
        if (connectedCount == expectedCount) {
            return QuorumState.COMPLETE;
        }
        if (isMajority(reachableCount, expectedCount)) {
            return QuorumState.MAJORITY;
        }
        return reachableCount == 1 ? QuorumState.ISOLATED : QuorumState.MINORITY;
    }

    private static boolean isMajority(int count, int expectedCount) {
        return 2 * count > expectedCount;
    }

    /**
     * Whether a state may be reported: at once if it is unknown or was the last one reported, otherwise after the
     * stability window.
     */
    private boolean isStable(QuorumState state, long nowMicros) {
        if (state != candidate) {
            candidate = state;
            candidateSinceMicros = nowMicros;
        }
        return state == QuorumState.UNKNOWN
                || state == lastAssessment.state()
                || nowMicros - candidateSinceMicros >= STABILITY_WINDOW_MICROS;
    }
}
