package sandstack.fleet.link;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberTable;
import sandstack.fleet.MemberValues;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumAssessment;

/** What the console shows of a view. Pure; O(members). */
public final class FleetViewFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetViewFormatter() {}

    /** A line a member. */
    public static List<String> lines(Membership.View view) {
        List<String> lines = new ArrayList<>();
        QuorumAssessment quorum = view.quorum();
        lines.add(String.format(
                "%s for %.1f s: %s%s",
                quorum.state(),
                (quorum.assessedAtMicros() - quorum.sinceMicros()) / 1e6,
                quorum.reason(),
                quorum.unreachable().isEmpty() ? "" : "; not " + String.join(", ", quorum.unreachable())));
        for (MemberTable.Row row : view.rows()) {
            Incarnation incarnation = row.incarnation();
            lines.add(String.format(
                    "%-12s %s  %-7s since %6.1f s  zone %s  machine %s  %s%s",
                    incarnation.name(),
                    incarnation.id().substring(0, Math.min(8, incarnation.id().length())),
                    row.status(),
                    Math.max(0, view.takenAtMicros() - row.sinceMicros()) / 1e6,
                    incarnation.zone(),
                    incarnation.machine(),
                    incarnation.id().equals(view.self().id())
                            ? "this one"
                            : "reached by " + row.reachableCount() + " of " + row.reporterCount(),
                    row.unreachableFrom().isEmpty() ? "" : ", not by " + String.join(", ", row.unreachableFrom())));
        }
        return lines;
    }

    /** What staff hear when they take a relay out. */
    public static List<String> decommissionOutcome(String name, Optional<String> refusal) {
        return List.of(refusal.map(reason -> "not done: " + reason)
                .orElseGet(() -> name + " is no longer counted. If it lives behind a cut,"
                        + " it and those with it may act for the fleet as well. It counts again when it is reached; take it out"
                        + " of relays in each fleet.toml too"));
    }

    /** All as one JSON object. */
    public static String json(Membership.View view) {
        ObjectNode root = JSON.createObjectNode().put("self", view.self().id()).put("settled", view.ownsName());
        QuorumAssessment quorum = view.quorum();
        ObjectNode quorumNode = root.putObject("ground")
                .put("is", quorum.state().label())
                .put("since_ms", (quorum.assessedAtMicros() - quorum.sinceMicros()) / 1_000)
                .put("why", quorum.reason());
        quorum.reachable().forEach(quorumNode.putArray("with")::add);
        quorum.unreachable().forEach(quorumNode.putArray("without")::add);
        ArrayNode memberNodes = root.putArray("members");
        for (MemberTable.Row row : view.rows()) {
            Incarnation incarnation = row.incarnation();
            ObjectNode memberNode = memberNodes
                    .addObject()
                    .put("name", incarnation.name())
                    .put("life", incarnation.id())
                    .put("zone", incarnation.zone())
                    .put("machine", incarnation.machine())
                    .put("address", incarnation.address())
                    .put("standing", row.status().label())
                    .put("since_ms", Math.max(0, view.takenAtMicros() - row.sinceMicros()) / 1_000)
                    .put("reached", row.reachableCount())
                    .put("voices", row.reporterCount());
            row.unreachableFrom().forEach(memberNode.putArray("against")::add);
            MemberValues.ReceivedValues received = view.published().get(incarnation.id());
            if (received != null) {
                ObjectNode publishedNode = memberNode.putObject("told");
                received.values().entries().forEach(publishedNode::put);
                memberNode.put("told_ms", Math.max(0, view.takenAtMicros() - received.receivedAtMicros()) / 1_000);
            }
        }
        return root.toString();
    }
}
