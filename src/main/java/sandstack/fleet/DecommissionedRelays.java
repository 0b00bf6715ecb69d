package sandstack.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The relays that operators have decommissioned, merged from what all members publish under {@link #KEY}. Each member
 * publishes the merged set again, so it outlives the member at which an operator entered it. A relay counts again once
 * it is a member.
 *
 * <p>Not thread-safe; O(members) a call.
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

    /** The names that any member publishes, without those of members and of relays that are not configured. */
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

    /** The set as it is published. */
    static String format(Set<String> names) {
        return String.join(SEPARATOR, names);
    }

    /** This member's published value with one more name. */
    String publishedWith(String name) {
        String published = publishedText(selfId);
        return published.isEmpty() ? name : published + SEPARATOR + name;
    }

    /** Why a relay may not be decommissioned now, for the operator; empty if it may. */
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
