package sandstack.fleet.link;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberTable;
import sandstack.fleet.MemberValues;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumAssessment;

/** What the console shows of a view. Pure; O(members). */
public final class FleetText {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetText() {}

    /** A line a member. */
    public static List<String> lines(Membership.View view) {
        List<String> lines = new ArrayList<>();
        QuorumAssessment found = view.finding();
        lines.add(String.format(
                "%s for %.1f s: %s%s",
                found.ground(),
                (found.at() - found.since()) / 1e6,
                found.why(),
                found.without().isEmpty() ? "" : "; not " + String.join(", ", found.without())));
        for (MemberTable.Row line : view.lines()) {
            Incarnation life = line.life();
            lines.add(String.format(
                    "%-12s %s  %-7s since %6.1f s  zone %s  machine %s  %s%s",
                    life.name(),
                    life.id().substring(0, Math.min(8, life.id().length())),
                    line.standing(),
                    Math.max(0, view.at() - line.since()) / 1e6,
                    life.zone(),
                    life.machine(),
                    life.id().equals(view.self().id())
                            ? "this one"
                            : "reached by " + line.reached() + " of " + line.voices(),
                    line.against().isEmpty() ? "" : ", not by " + String.join(", ", line.against())));
        }
        return lines;
    }

    /** What staff hear when they take a relay out. */
    public static List<String> takenOut(String name, String refused) {
        return List.of(
                refused != null
                        ? "not done: " + refused
                        : name + " is no longer counted. If it lives behind a cut,"
                                + " it and those with it may act for the fleet as well. It counts again when it is reached; take it out"
                                + " of relays in each fleet.toml too");
    }

    /** All as one JSON object. */
    public static String json(Membership.View view) {
        ObjectNode root = JSON.createObjectNode().put("self", view.self().id()).put("settled", view.settled());
        QuorumAssessment found = view.finding();
        ObjectNode ground = root.putObject("ground")
                .put("is", found.ground().name())
                .put("since_ms", (found.at() - found.since()) / 1_000)
                .put("why", found.why());
        found.with().forEach(ground.putArray("with")::add);
        found.without().forEach(ground.putArray("without")::add);
        ArrayNode members = root.putArray("members");
        for (MemberTable.Row line : view.lines()) {
            Incarnation life = line.life();
            ObjectNode member = members.addObject()
                    .put("name", life.name())
                    .put("life", life.id())
                    .put("zone", life.zone())
                    .put("machine", life.machine())
                    .put("address", life.address())
                    .put("standing", line.standing().name())
                    .put("since_ms", Math.max(0, view.at() - line.since()) / 1_000)
                    .put("reached", line.reached())
                    .put("voices", line.voices());
            line.against().forEach(member.putArray("against")::add);
            MemberValues.Held held = view.told().get(life.id());
            if (held != null) {
                ObjectNode told = member.putObject("told");
                held.state().values().forEach(told::put);
                member.put("told_ms", Math.max(0, view.at() - held.at()) / 1_000);
            }
        }
        return root.toString();
    }
}
