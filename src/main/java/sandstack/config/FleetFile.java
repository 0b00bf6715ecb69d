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
 * {@code deploy/fleet.toml}: where the members of this relay's fleet are. It counts only where the command says
 * {@code --fleet} too.
 *
 * @param installation members of others are not talked to
 * @param listen where this member is reached
 * @param machine what this one shares with whatever fails with it
 * @param members addresses by which the fleet is found; some of them may be gone
 * @param relays names of all relays that there are, as staff state them; empty where they do not say
 * @param via where to dial a member that is not reached at its own address
 */
public record FleetFile(
        String installation,
        Address listen,
        String machine,
        List<String> members,
        Set<String> relays,
        Map<String, String> via) {
    /** The file's name in the folder of our own files. */
    public static final String FILE = "fleet.toml";

    private static final Set<String> KEYS =
            Set.of("enabled", "installation", "listen", "machine", "members", "relays", "via");
    private static final int MOST_MEMBERS = 1_000;
    private static final int LONGEST = 100;

    /** Reads the file; null where it is missing or off. */
    public static FleetFile read(DeployFiles files) throws InvalidConfigurationException {
        JsonNode root = files.enabled(FILE);
        return root == null ? null : read(root);
    }

    static FleetFile read(JsonNode root) throws InvalidConfigurationException {
        DeployFiles.onlyKnown(root, KEYS, FILE + ": ");
        Address listen = Address.parse(DeployFiles.text(root, "listen", FILE), FILE + ": listen");
        List<String> members = new ArrayList<>();
        JsonNode listed = root.path("members");
        if (!listed.isArray() || listed.isEmpty() || listed.size() > MOST_MEMBERS) {
            throw new InvalidConfigurationException(FILE + ": members must be a list of 1 to " + MOST_MEMBERS
                    + " addresses: "
                    + (listed.isArray() ? listed.size() + " of them" : listed.isMissingNode() ? "missing" : listed));
        }
        for (JsonNode member : listed) {
            members.add(address(member, "members"));
        }
        Set<String> relays = new TreeSet<>();
        JsonNode named = root.path("relays");
        if (!named.isMissingNode() && (!named.isArray() || named.isEmpty() || named.size() > MOST_MEMBERS)) {
            throw new InvalidConfigurationException(FILE + ": relays must be a list of 1 to " + MOST_MEMBERS
                    + " names: " + (named.isArray() ? named.size() + " of them" : named));
        }
        for (JsonNode relay : named) {
            if (!relay.isTextual() || !relays.add(word(relay.asText(), "relays"))) {
                throw new InvalidConfigurationException(
                        FILE + ": relays: " + relay + (relay.isTextual() ? " is there twice" : " is no name"));
            }
        }
        Map<String, String> via = new HashMap<>();
        if (root.has("via") && !root.path("via").isObject()) {
            throw new InvalidConfigurationException(FILE + ": via is not a table: " + root.path("via"));
        }
        for (Iterator<Map.Entry<String, JsonNode>> i = root.path("via").fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> way = i.next();
            Address.parse(way.getKey(), FILE + ": via");
            via.put(way.getKey(), address(way.getValue(), "via.\"" + way.getKey() + "\""));
        }
        String machine = root.has("machine") ? word(root, "machine") : listen.host();
        return new FleetFile(
                word(root, "installation"), listen, machine, List.copyOf(members), Set.copyOf(relays), Map.copyOf(via));
    }

    private static String address(JsonNode of, String where) throws InvalidConfigurationException {
        if (!of.isTextual()) {
            throw new InvalidConfigurationException(FILE + ": " + where + " is no address HOST:PORT: " + of);
        }
        return Address.parse(of.asText(), FILE + ": " + where).toString();
    }

    /** Names go into log lines and onto the wire as they are; the library takes none of one letter. */
    private static String word(JsonNode root, String key) throws InvalidConfigurationException {
        return word(DeployFiles.text(root, key, FILE), key);
    }

    private static String word(String value, String key) throws InvalidConfigurationException {
        if (value.length() > LONGEST || !value.matches("[A-Za-z0-9][A-Za-z0-9._-]*[A-Za-z0-9]")) {
            throw new InvalidConfigurationException(FILE + ": " + key + " must be 2 to " + LONGEST
                    + " letters and digits, with dots, hyphens and underscores between: " + value);
        }
        return value;
    }
}
