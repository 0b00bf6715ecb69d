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

/**
 * Formats a view for the console. The texts and the JSON keys are an interface to operators and other programs; they
 * are stable and differ from the names in the code. Stateless; O(members).
 */
public final class FleetViewFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int ID_PREFIX_LENGTH = 8;

    private FleetViewFormatter() {}

    /** One line with the quorum state, followed by one line for each member. */
    public static List<String> lines(Membership.View view) {
        List<String> lines = new ArrayList<>();
        lines.add(quorumLine(view.quorum()));
        for (MemberTable.Row row : view.rows()) {
            lines.add(memberLine(view, row));
        }
        return lines;
    }

    private static String quorumLine(QuorumAssessment quorum) {
        return String.format(
                "%s for %.1f s: %s%s",
                quorum.state().label(),
                (quorum.assessedAtMicros() - quorum.sinceMicros()) / MICROS_PER_SECOND,
                quorum.reason(),
                quorum.unreachable().isEmpty() ? "" : "; not " + String.join(", ", quorum.unreachable()));
    }

    private static String memberLine(Membership.View view, MemberTable.Row row) {
        Incarnation incarnation = row.incarnation();
        String id = incarnation.id();
        return String.format(
                "%-12s %s  %-7s since %6.1f s  zone %s  machine %s  %s%s",
                incarnation.name(),
                id.substring(0, Math.min(ID_PREFIX_LENGTH, id.length())),
                row.status().label(),
                ageMicros(view, row.sinceMicros()) / MICROS_PER_SECOND,
                incarnation.zone(),
                incarnation.machine(),
                id.equals(view.self().id())
                        ? "this one"
                        : "reached by " + row.reachableCount() + " of " + row.reporterCount(),
                row.unreachableFrom().isEmpty() ? "" : ", not by " + String.join(", ", row.unreachableFrom()));
    }

    private static long ageMicros(Membership.View view, long sinceMicros) {
        return Math.max(0, view.takenAtMicros() - sinceMicros);
    }

    /** The response to a request to decommission a relay; {@code refusal} is empty if it was decommissioned. */
    public static List<String> decommissionOutcome(String name, Optional<String> refusal) {
        return List.of(refusal.map(reason -> "not done: " + reason)
                .orElseGet(() -> name + " is no longer counted. If it lives behind a cut,"
                        + " it and those with it may act for the fleet as well. It counts again when it is reached; take it out"
                        + " of relays in each fleet.toml too"));
    }

    /** The view as one JSON object. */
    public static String json(Membership.View view) {
        ObjectNode root = JSON.createObjectNode().put("self", view.self().id()).put("settled", view.ownsName());
        putQuorum(root.putObject("ground"), view.quorum());
        ArrayNode members = root.putArray("members");
        for (MemberTable.Row row : view.rows()) {
            putMember(members.addObject(), view, row);
        }
        return root.toString();
    }

    private static void putQuorum(ObjectNode node, QuorumAssessment quorum) {
        node.put("is", quorum.state().label())
                .put("since_ms", (quorum.assessedAtMicros() - quorum.sinceMicros()) / MICROS_PER_MILLI)
                .put("why", quorum.reason());
        quorum.reachable().forEach(node.putArray("with")::add);
        quorum.unreachable().forEach(node.putArray("without")::add);
    }

    private static void putMember(ObjectNode node, Membership.View view, MemberTable.Row row) {
        Incarnation incarnation = row.incarnation();
        node.put("name", incarnation.name())
                .put("life", incarnation.id())
                .put("zone", incarnation.zone())
                .put("machine", incarnation.machine())
                .put("address", incarnation.address())
                .put("standing", row.status().label())
                .put("since_ms", ageMicros(view, row.sinceMicros()) / MICROS_PER_MILLI)
                .put("reached", row.reachableCount())
                .put("voices", row.reporterCount());
        row.unreachableFrom().forEach(node.putArray("against")::add);
        MemberValues.ReceivedValues received = view.published().get(incarnation.id());
        if (received != null) {
            received.values().entries().forEach(node.putObject("told")::put);
            node.put("told_ms", ageMicros(view, received.receivedAtMicros()) / MICROS_PER_MILLI);
        }
    }
}
