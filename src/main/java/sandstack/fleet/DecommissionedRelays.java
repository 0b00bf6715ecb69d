package sandstack.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The set of relays that operators have decommissioned: the union of the sets that all members publish under
 * {@link #KEY}. Each member publishes the union again, so an entry remains when the member at which it was made ends. A
 * relay that is a member again leaves the set and counts towards the size of the fleet.
 *
 * <p>Not thread-safe. A call costs O(members).
 */
final class DecommissionedRelays {
    /** Key of the published value: names, separated by commas. */
    static final String KEY = "out";

    private static final String SEPARATOR = ",";

    private final String selfId;
    private final MemberValues memberValues;
    private final QuorumTracker quorumTracker;

    DecommissionedRelays(String selfId, MemberValues memberValues, QuorumTracker quorumTracker) {
        this.selfId = selfId;
        this.memberValues = memberValues;
        this.quorumTracker = quorumTracker;
    }

    /** The union of the published sets, without current members and without relays that are not configured. */
    Set<String> merge(List<MemberTable.Row> rows) {
        Set<String> memberNames = new HashSet<>();
        Set<String> decommissioned = new TreeSet<>(publishedBy(selfId));
        for (MemberTable.Row row : rows) {
            if (row.status().isMember()) {
                memberNames.add(row.incarnation().name());
                decommissioned.addAll(publishedBy(row.incarnation().id()));
            }
        }
        decommissioned.removeIf(name -> memberNames.contains(name) || !quorumTracker.isConfigured(name));
        return decommissioned;
    }

    private Set<String> publishedBy(String id) {
        String text = publishedText(id);
        return text.isEmpty() ? Set.of() : Set.of(text.split(SEPARATOR));
    }

    private String publishedText(String id) {
        return memberValues.values(id).entries().getOrDefault(KEY, "");
    }

    /** The published form of a set of names. */
    static String format(Set<String> names) {
        return String.join(SEPARATOR, names);
    }

    /** This member's published value with {@code name} appended. */
    String publishedWith(String name) {
        String published = publishedText(selfId);
        return published.isEmpty() ? name : published + SEPARATOR + name;
    }

    /** The reason, worded for the operator, for which this relay cannot be decommissioned now; empty if it can. */
    Optional<String> refusal(String name, Membership.View view) {
        if (!quorumTracker.isConfigured(name)) {
            return Optional.of(name + " is not among the relays that staff state");
        }
        if (isMember(name, view)) {
            return Optional.of(name + " is not lost: stop it first");
        }
        QuorumAssessment quorum = view.quorum();
        if (!quorum.allows(GuardedOperation.OperatorOperation.DECOMMISSION_RELAY)) {
            return Optional.of(
                    "this relay is " + quorum.state().label() + " (" + quorum.reason() + "); ask one that is not");
        }
        if (publishedWith(name).length() > MemberValues.MAX_LENGTH) {
            return Optional.of("too many are out; correct the file of each relay");
        }
        return Optional.empty();
    }

    private static boolean isMember(String name, Membership.View view) {
        return view.rows().stream()
                .anyMatch(row ->
                        row.incarnation().name().equals(name) && row.status().isMember());
    }
}
