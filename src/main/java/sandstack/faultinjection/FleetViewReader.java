package sandstack.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the view of the fleet that a member prints as JSON. */
final class FleetViewReader {
    private static final List<String> FORMER_STATUSES = List.of("LOST", "LEFT");

    private FleetViewReader() {}

    /** The status of each relay name: that of its present incarnation, or of the first one listed if there is none. */
    static Map<String, String> statuses(JsonNode view) {
        Map<String, String> statuses = new TreeMap<>();
        for (JsonNode member : view.path("members")) {
            String name = member.path("name").asText();
            if (isPresent(member) || !statuses.containsKey(name)) {
                statuses.put(name, member.path("standing").asText());
            }
        }
        return statuses;
    }

    /**
     * The entry of a relay name: that of its present incarnation, or of the first one listed if there is none. Null if
     * the view does not contain the name.
     */
    static JsonNode entry(JsonNode view, String name) {
        JsonNode entry = null;
        for (JsonNode member : view.path("members")) {
            if (member.path("name").asText().equals(name) && (entry == null || isPresent(member))) {
                entry = member;
            }
        }
        return entry;
    }

    private static boolean isPresent(JsonNode member) {
        return !FORMER_STATUSES.contains(member.path("standing").asText());
    }
}
