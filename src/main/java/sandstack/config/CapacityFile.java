package sandstack.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.capacity.StatedCapacity;

/**
 * What an operator states of the feed servers, and the limits of the installation: {@code deploy/capacity.toml}, which
 * states nothing as shipped, or the file that a command names. One installation's figures bound another's feed servers
 * at random, so they count only where they are asked for.
 *
 * @param kinds names of the machine kinds, in the order of the book
 */
public record CapacityFile(StatedCapacities statedCapacities, List<String> kinds, InstallationLimits limits) {
    /** Nothing stated, no limits. */
    public static final CapacityFile NONE = new CapacityFile(StatedCapacities.NONE, List.of(), InstallationLimits.NONE);

    private static final String FILE = "capacity.toml";
    private static final Set<String> TABLES = Set.of("enabled", "servers", "kinds", "limits");
    private static final Set<String> STATED = Set.of("work", "connections", "firm", "load", "group");
    private static final Set<String> LIMITS = Set.of("relay", "server", "group", "setups");
    private static final int MOST_KINDS = 64;

    /**
     * Reads the file; {@link #NONE} where it is off, or where none is named and ours is missing.
     *
     * @param named by the command; null where it names none
     */
    public static CapacityFile read(DeployFiles files, Path named) throws InvalidConfigurationException {
        JsonNode root = named == null ? files.enabled(FILE) : DeployFiles.enabled(named);
        return root == null ? NONE : new Reader(named == null ? FILE : named.toString()).read(root);
    }

    /** Reads one file; errors name it. */
    private record Reader(String file) {
        CapacityFile read(JsonNode root) throws InvalidConfigurationException {
            known(root, "", TABLES);
            StatedCapacity other = stated(root.path("servers"), "servers", StatedCapacity.NOTHING);
            List<String> names = new ArrayList<>();
            List<StatedCapacity> kinds = new ArrayList<>();
            table(root.path("kinds"), "kinds");
            for (Iterator<Map.Entry<String, JsonNode>> i = root.path("kinds").fields(); i.hasNext(); ) {
                Map.Entry<String, JsonNode> kind = i.next();
                names.add(kind.getKey());
                kinds.add(stated(kind.getValue(), "kinds." + kind.getKey(), other));
            }
            if (names.size() > MOST_KINDS) {
                throw new InvalidConfigurationException(
                        file + ": kinds has " + names.size() + " tables, " + MOST_KINDS + " at most");
            }
            JsonNode l = root.path("limits");
            known(l, "limits", LIMITS);
            InstallationLimits limits = new InstallationLimits(
                    count(l, "relay"), count(l, "server"), count(l, "group"), number(l, "limits", "setups", 0, 1e6));
            return new CapacityFile(new StatedCapacities(other, kinds), List.copyOf(names), limits);
        }

        /** What a kind's table leaves out is as for all servers. */
        private StatedCapacity stated(JsonNode of, String where, StatedCapacity other)
                throws InvalidConfigurationException {
            known(of, where, STATED);
            if (of.has("firm") && !of.path("firm").isBoolean()) {
                throw new InvalidConfigurationException(
                        file + ": " + where + ".firm is neither true nor false: " + of.path("firm"));
            }
            return new StatedCapacity(
                    number(of, where, "work", other.workPerRating(), 1e15),
                    number(of, where, "connections", other.connectionsPerRating(), 1e9),
                    of.path("firm").asBoolean(other.upperBound()),
                    number(of, where, "load", other.defaultConnectionLoad(), 1e15),
                    number(of, where, "group", other.groupOverheadConnections(), 1e6));
        }

        private int count(JsonNode of, String name) throws InvalidConfigurationException {
            double value = number(of, "limits", name, 0, 1e9);
            if (value != Math.rint(value)) {
                throw new InvalidConfigurationException(
                        FILE + ": limits." + name + " is not a whole number: " + of.path(name));
            }
            return (int) value;
        }

        private double number(JsonNode of, String where, String name, double missing, double most)
                throws InvalidConfigurationException {
            JsonNode value = of.path(name);
            if (value.isMissingNode()) {
                return missing;
            }
            if (!value.isNumber() || !(value.asDouble() >= 0 && value.asDouble() <= most)) {
                throw new InvalidConfigurationException(
                        file + ": " + where + "." + name + " must be a number from 0 to " + (long) most + ": " + value);
            }
            return value.asDouble();
        }

        private void table(JsonNode of, String where) throws InvalidConfigurationException {
            if (!of.isMissingNode() && !of.isObject()) {
                throw new InvalidConfigurationException(file + ": " + where + " is not a table: " + of);
            }
        }

        private void known(JsonNode of, String where, Set<String> names) throws InvalidConfigurationException {
            table(of, where);
            for (Iterator<String> i = of.fieldNames(); i.hasNext(); ) {
                String name = i.next();
                if (!names.contains(name)) {
                    throw new InvalidConfigurationException(
                            file + ": " + (where.isEmpty() ? "" : where + ".") + name + " is not known here; known are "
                                    + String.join(", ", names.stream().sorted().toList()));
                }
            }
        }
    }
}
