package sandstack.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandstack.config.PlatformConfig.Address;

/**
 * The configuration of this relay as a member of a fleet, read from {@code deploy/fleet.toml}. A member needs both this
 * file with {@code enabled = true} and the flag {@code --fleet}; a command with only one of the two fails.
 *
 * @param installation name of the installation; members of other installations are ignored
 * @param listen address at which this member accepts other members
 * @param machine name of this member's failure domain; the host of {@code listen} if the file states none
 * @param members seed addresses through which this member joins the fleet; some may be unreachable
 * @param relays names of all relays of the installation; empty if the operator does not state them
 * @param via addresses to connect to instead of a member's own address, by the member's own address
 */
public record FleetFile(
        String installation,
        Address listen,
        String machine,
        List<String> members,
        Set<String> relays,
        Map<String, String> via) {
    /** The file's name under {@code deploy/}. */
    public static final String FILE = "fleet.toml";

    private static final Set<String> KEYS =
            Set.of("enabled", "installation", "listen", "machine", "members", "relays", "via");
    private static final int MAX_MEMBERS = 1_000;
    private static final int MAX_NAME_CHARS = 100;

    /** Reads the file; returns null if it is missing or disabled. */
    public static FleetFile read(DeployFiles files) throws InvalidConfigurationException {
        JsonNode root = files.readIfEnabled(FILE);
        return root == null ? null : read(root);
    }

    static FleetFile read(JsonNode root) throws InvalidConfigurationException {
        // the order decides which of several invalid values is reported
        DeployFiles.requireKnownKeys(root, KEYS, FILE + ": ");
        Address listen = Address.parse(DeployFiles.requiredText(root, "listen", FILE), FILE + ": listen");
        List<String> members = members(root.path("members"));
        Set<String> relays = relays(root.path("relays"));
        Map<String, String> via = via(root);
        String machine = root.has("machine") ? requireName(root, "machine") : listen.host();
        return new FleetFile(requireName(root, "installation"), listen, machine, members, relays, via);
    }

    private static List<String> members(JsonNode list) throws InvalidConfigurationException {
        if (!list.isArray() || list.isEmpty() || list.size() > MAX_MEMBERS) {
            throw new InvalidConfigurationException(FILE + ": members must be a list of 1 to " + MAX_MEMBERS
                    + " addresses: "
                    + (list.isArray() ? list.size() + " of them" : list.isMissingNode() ? "missing" : list));
        }
        List<String> members = new ArrayList<>();
        for (JsonNode member : list) {
            members.add(address(member, "members"));
        }
        return List.copyOf(members);
    }

    private static Set<String> relays(JsonNode list) throws InvalidConfigurationException {
        if (!list.isMissingNode() && (!list.isArray() || list.isEmpty() || list.size() > MAX_MEMBERS)) {
            throw new InvalidConfigurationException(FILE + ": relays must be a list of 1 to " + MAX_MEMBERS + " names: "
                    + (list.isArray() ? list.size() + " of them" : list));
        }
        Set<String> relays = new TreeSet<>();
        for (JsonNode relay : list) {
            if (!relay.isTextual() || !relays.add(requireName(relay.asText(), "relays"))) {
                throw new InvalidConfigurationException(
                        FILE + ": relays: " + relay + (relay.isTextual() ? " is there twice" : " is no name"));
            }
        }
        return Set.copyOf(relays);
    }

    private static Map<String, String> via(JsonNode root) throws InvalidConfigurationException {
        if (root.has("via") && !root.path("via").isObject()) {
            throw new InvalidConfigurationException(FILE + ": via is not a table: " + root.path("via"));
        }
        Map<String, String> via = new HashMap<>();
        for (Iterator<Map.Entry<String, JsonNode>> i = root.path("via").fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = i.next();
            Address.parse(entry.getKey(), FILE + ": via");
            via.put(entry.getKey(), address(entry.getValue(), "via.\"" + entry.getKey() + "\""));
        }
        return Map.copyOf(via);
    }

    private static String address(JsonNode value, String path) throws InvalidConfigurationException {
        if (!value.isTextual()) {
            throw new InvalidConfigurationException(FILE + ": " + path + " is no address HOST:PORT: " + value);
        }
        return Address.parse(value.asText(), FILE + ": " + path).toString();
    }

    /**
     * Returns the value if it is a valid name. Names are written to logs and to the wire without escapes, so only some
     * characters are valid; the cluster library rejects names of one letter.
     */
    private static String requireName(JsonNode root, String key) throws InvalidConfigurationException {
        return requireName(DeployFiles.requiredText(root, key, FILE), key);
    }

    private static String requireName(String value, String key) throws InvalidConfigurationException {
        if (value.length() > MAX_NAME_CHARS || !value.matches("[A-Za-z0-9][A-Za-z0-9._-]*[A-Za-z0-9]")) {
            throw new InvalidConfigurationException(FILE + ": " + key + " must be 2 to " + MAX_NAME_CHARS
                    + " letters and digits, with dots, hyphens and underscores between: " + value);
        }
        return value;
    }
}
