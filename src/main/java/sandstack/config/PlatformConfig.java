package sandstack.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import sandstack.core.EffectiveSettings;
import sandstack.core.EndpointRegistry;

/**
 * The platform's configuration of one relay, read from the file that {@code PROXY_CONFIG} names and from further
 * environment variables, which take precedence over the file.
 *
 * @param name the relay's name
 * @param listen address at which the relay accepts clients
 * @param discovery address of discovery
 * @param operator address of the operators' port; null if there is none
 * @param socketInherited whether the listening socket for clients is inherited as descriptor 0 instead of opened
 * @param seed seed from which the relay's random numbers are derived
 * @param maxDescriptors maximum number of file descriptors that the process may have open
 * @param effectiveSettings the settings of the load balancer
 * @param zones names of the zones, in the order of the settings
 * @param cachedEndpoints the endpoint list in the file, for the time until discovery sends one; may be stale; null if
 *     there is none
 * @param keys the keys of the file; a reloaded file that lacks one of them is rejected
 */
public record PlatformConfig(
        String name,
        Address listen,
        Address discovery,
        Address operator,
        boolean socketInherited,
        long seed,
        int maxDescriptors,
        EffectiveSettings effectiveSettings,
        List<String> zones,
        EndpointRegistry.Update cachedEndpoints,
        ConfigurationKeys keys) {

    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_MAX_DESCRIPTORS = 4096;
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** A host and a port, written {@code HOST:PORT}. */
    public record Address(String host, int port) {
        /** Parses {@code HOST:PORT}; the error line begins with {@code what}. */
        public static Address parse(String text, String what) throws InvalidConfigurationException {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                    return new Address(text.substring(0, colon), port);
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw new InvalidConfigurationException(what + " is not HOST:PORT: " + text);
        }

        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * Reads the configuration from these environment variables and the file that they name.
     *
     * @param kinds receives the machine kinds of the endpoint list
     */
    public static PlatformConfig load(Map<String, String> env, MachineKinds kinds)
            throws InvalidConfigurationException {
        String file = env.get("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigurationException("PROXY_CONFIG is not set");
        }
        try {
            return read(JSON.readTree(Files.readAllBytes(Path.of(file))), env, kinds);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file + " is not JSON: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new InvalidConfigurationException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException(file + ": " + e.getMessage());
        }
    }

    /**
     * Reads the configuration again after its file was replaced. The file's address of discovery now takes precedence
     * over the environment variable, whose value dates from the start of the process. A file that lacks a key of this
     * configuration is rejected, because it may be truncated or incomplete.
     */
    public PlatformConfig reload(Map<String, String> env) throws InvalidConfigurationException {
        Map<String, String> fileFirst = new HashMap<>(env);
        fileFirst.remove("PROXY_DISCOVERY");
        PlatformConfig next = load(fileFirst, new MachineKinds(List.of()));
        keys.requireAllIn(next.keys);
        return next;
    }

    /** The changes in {@code next} that take effect only after a restart, one line each. */
    public List<String> changesThatNeedRestart(PlatformConfig next) {
        List<String> changes = new ArrayList<>();
        for (Function<PlatformConfig, Object> component : List.<Function<PlatformConfig, Object>>of(
                PlatformConfig::name,
                PlatformConfig::listen,
                PlatformConfig::operator,
                PlatformConfig::maxDescriptors,
                PlatformConfig::zones)) {
            if (!Objects.equals(component.apply(this), component.apply(next))) {
                changes.add(component.apply(this) + " stays in effect instead of " + component.apply(next));
            }
        }
        return changes;
    }

    private static PlatformConfig read(JsonNode root, Map<String, String> env, MachineKinds kinds)
            throws InvalidConfigurationException, IOException {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new InvalidConfigurationException("settings is missing");
        }
        SettingsReader reader = new SettingsReader();
        try (JsonParser in = settings.traverse(JSON)) {
            in.nextToken();
            reader.read(in);
        }
        List<String> classNames = classNames(settings);
        List<String> zones = new ArrayList<>();
        settings.path("zones").forEach(zone -> zones.add(zone.asText()));
        JsonNode known = root.path("known");
        String operator =
                env.getOrDefault("PROXY_OPERATOR", root.path("operator").asText(""));
        return new PlatformConfig(
                env.getOrDefault("PROXY_NAME", root.path("name").asText("relay")),
                Address.parse(requiredValue(root, env, "listen", "PROXY_LISTEN"), "listen"),
                Address.parse(requiredValue(root, env, "discovery", "PROXY_DISCOVERY"), "discovery"),
                operator.isEmpty() ? null : Address.parse(operator, "operator"),
                socketInherited(env.get("PROXY_SOCKET_FD")),
                seed(root.path("seed")),
                root.path("limits").path("sockets").asInt(DEFAULT_MAX_DESCRIPTORS),
                new EffectiveSettings(
                        reader.settings(),
                        classNames,
                        settings.path("family_info").path("tells_delay").asBoolean(false)),
                List.copyOf(zones),
                known.isObject() ? new EndpointListJson(zones, kinds).readCached(known) : null,
                ConfigurationKeys.of(root));
    }

    private static List<String> classNames(JsonNode settings) throws InvalidConfigurationException {
        List<String> names = new ArrayList<>();
        for (JsonNode requestClass : settings.path("classes")) {
            String name = requestClass.path("name").asText("");
            if (name.isEmpty() || names.contains(name)) {
                throw new InvalidConfigurationException("settings.classes." + names.size() + ".name "
                        + (name.isEmpty() ? "is missing" : "is there twice"));
            }
            names.add(name);
        }
        return names;
    }

    /** Whether a socket is inherited; the Java virtual machine can inherit only descriptor 0. */
    private static boolean socketInherited(String descriptor) throws InvalidConfigurationException {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.equals("0")) {
            throw new InvalidConfigurationException(
                    "PROXY_SOCKET_FD is " + descriptor + "; only descriptor 0 can be inherited");
        }
        return true;
    }

    private static String requiredValue(JsonNode root, Map<String, String> env, String field, String variable)
            throws InvalidConfigurationException {
        String text = env.getOrDefault(variable, root.path(field).asText(""));
        if (text.isEmpty()) {
            throw new InvalidConfigurationException(field + " is missing");
        }
        return text;
    }

    private static long seed(JsonNode seed) throws InvalidConfigurationException {
        try {
            return seed.isNumber() ? seed.longValue() : Long.parseUnsignedLong(seed.asText(""), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException("seed is not a hexadecimal number of 64 bits");
        }
    }
}
