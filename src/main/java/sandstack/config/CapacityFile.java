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
 * The stated capacities of the feed servers and the limits of the installation, read from the file that a command
 * names, otherwise from {@code deploy/capacity.toml}, which is disabled as shipped: the values of one installation do
 * not hold for another.
 *
 * @param statedCapacities stated capacities, by machine kind
 * @param kinds names of the machine kinds, in the order of the entries in {@code statedCapacities}
 * @param limits the limits of the installation
 */
public record CapacityFile(StatedCapacities statedCapacities, List<String> kinds, InstallationLimits limits) {
    /** States no capacities and no limits. */
    public static final CapacityFile NONE = new CapacityFile(StatedCapacities.NONE, List.of(), InstallationLimits.NONE);

    private static final String FILE = "capacity.toml";
    private static final Set<String> ROOT_KEYS = Set.of("enabled", "servers", "kinds", "limits");
    private static final Set<String> CAPACITY_KEYS = Set.of("work", "connections", "firm", "load", "group");
    private static final Set<String> LIMIT_KEYS = Set.of("relay", "server", "group", "setups");
    // upper bounds of the values, in the units of StatedCapacity and InstallationLimits
    private static final double MAX_WORK = 1e15;
    private static final double MAX_CONNECTIONS = 1e9;
    private static final double MAX_GROUP_OVERHEAD = 1e6;
    private static final double MAX_SETUPS = 1e6;
    private static final int MAX_KINDS = 64;

    /**
     * Reads the file; returns {@link #NONE} if the file is disabled, or if no file is named and {@code deploy/} has
     * none.
     *
     * @param namedFile the file that the command names, which must exist; null if the command names none
     */
    public static CapacityFile read(DeployFiles files, Path namedFile) throws InvalidConfigurationException {
        JsonNode root = namedFile == null ? files.readIfEnabled(FILE) : DeployFiles.readIfEnabled(namedFile);
        return root == null ? NONE : new Reader(namedFile == null ? FILE : namedFile.toString()).read(root);
    }

    /**
     * Reads the values of one file.
     *
     * @param file the file's name, with which error lines begin
     */
    private record Reader(String file) {
        CapacityFile read(JsonNode root) throws InvalidConfigurationException {
            requireKnownKeys(root, "", ROOT_KEYS);
            StatedCapacity defaults = readCapacity(root.path("servers"), "servers", StatedCapacity.UNKNOWN);
            List<String> kindNames = new ArrayList<>();
            List<StatedCapacity> kindCapacities = new ArrayList<>();
            requireTable(root.path("kinds"), "kinds");
            for (Iterator<Map.Entry<String, JsonNode>> i = root.path("kinds").fields(); i.hasNext(); ) {
                Map.Entry<String, JsonNode> kind = i.next();
                kindNames.add(kind.getKey());
                kindCapacities.add(readCapacity(kind.getValue(), "kinds." + kind.getKey(), defaults));
            }
            if (kindNames.size() > MAX_KINDS) {
                throw new InvalidConfigurationException(
                        file + ": kinds has " + kindNames.size() + " tables, " + MAX_KINDS + " at most");
            }
            InstallationLimits limits = readLimits(root.path("limits"));
            return new CapacityFile(new StatedCapacities(defaults, kindCapacities), List.copyOf(kindNames), limits);
        }

        private InstallationLimits readLimits(JsonNode table) throws InvalidConfigurationException {
            requireKnownKeys(table, "limits", LIMIT_KEYS);
            return new InstallationLimits(
                    count(table, "relay"),
                    count(table, "server"),
                    count(table, "group"),
                    number(table, "limits", "setups", 0, MAX_SETUPS));
        }

        /** Reads one table; takes values that it lacks from {@code defaults}. */
        private StatedCapacity readCapacity(JsonNode table, String path, StatedCapacity defaults)
                throws InvalidConfigurationException {
            requireKnownKeys(table, path, CAPACITY_KEYS);
            if (table.has("firm") && !table.path("firm").isBoolean()) {
                throw new InvalidConfigurationException(
                        file + ": " + path + ".firm is neither true nor false: " + table.path("firm"));
            }
            return new StatedCapacity(
                    number(table, path, "work", defaults.workPerRating(), MAX_WORK),
                    number(table, path, "connections", defaults.connectionsPerRating(), MAX_CONNECTIONS),
                    table.path("firm").asBoolean(defaults.upperBound()),
                    number(table, path, "load", defaults.defaultConnectionLoad(), MAX_WORK),
                    number(table, path, "group", defaults.groupOverheadConnections(), MAX_GROUP_OVERHEAD));
        }

        private int count(JsonNode table, String name) throws InvalidConfigurationException {
            double value = number(table, "limits", name, 0, MAX_CONNECTIONS);
            if (value != Math.rint(value)) {
                throw new InvalidConfigurationException(
                        FILE + ": limits." + name + " is not a whole number: " + table.path(name));
            }
            return (int) value;
        }

        private double number(JsonNode table, String path, String name, double defaultValue, double maximum)
                throws InvalidConfigurationException {
            JsonNode value = table.path(name);
            if (value.isMissingNode()) {
                return defaultValue;
            }
            if (!value.isNumber() || !(value.asDouble() >= 0 && value.asDouble() <= maximum)) {
                throw new InvalidConfigurationException(file + ": " + path + "." + name + " must be a number from 0 to "
                        + (long) maximum + ": " + value);
            }
            return value.asDouble();
        }

        private void requireTable(JsonNode table, String path) throws InvalidConfigurationException {
            if (!table.isMissingNode() && !table.isObject()) {
                throw new InvalidConfigurationException(file + ": " + path + " is not a table: " + table);
            }
        }

        private void requireKnownKeys(JsonNode table, String path, Set<String> keys)
                throws InvalidConfigurationException {
            requireTable(table, path);
            for (Iterator<String> i = table.fieldNames(); i.hasNext(); ) {
                String name = i.next();
                if (!keys.contains(name)) {
                    throw new InvalidConfigurationException(
                            file + ": " + (path.isEmpty() ? "" : path + ".") + name + " is not known here; known are "
                                    + String.join(", ", keys.stream().sorted().toList()));
                }
            }
        }
    }
}
