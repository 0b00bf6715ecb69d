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
 * What the platform tells a relay: the file that PROXY_CONFIG names, and the variables beside it, which come
 * before the file.
 *
 * @param operator where operators are answered; null where they are not
 * @param socketInherited clients come at a listening socket that the process has inherited as descriptor 0
 * @param cachedEndpoints the name table as this relay last had it; null where there is none
 * @param keys that the file has
 * @param maxDescriptors file descriptors that the process may hold
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

    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** A host and a port. */
    public record Address(String host, int port) {
        /** Reads {@code HOST:PORT}. */
        public static Address parse(String text, String what) throws InvalidConfigurationException {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (colon > 0 && port >= 0 && port < 65536) {
                    return new Address(text.substring(0, colon), port);
                }
            } catch (NumberFormatException e) {
                // told below
            }
            throw new InvalidConfigurationException(what + " is not HOST:PORT: " + text);
        }

        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * Reads the configuration that these environment variables name.
     *
     * @param kinds learns the machine kinds that it tells of
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
     * Reads the configuration once more, after its file was replaced: from then on the file says where discovery
     * is, as the variable still has the address of the start. A file that lacks a key of the one before is refused:
     * it was cut, or written by somebody who did not know all of it.
     */
    public PlatformConfig reload(Map<String, String> env) throws InvalidConfigurationException {
        Map<String, String> rest = new HashMap<>(env);
        rest.remove("PROXY_DISCOVERY");
        PlatformConfig next = load(rest, new MachineKinds(List.of()));
        keys.requireAllIn(next.keys);
        return next;
    }

    /** What this and the next differ in that counts only from the next start; empty where nothing. */
    public List<String> changesThatNeedRestart(PlatformConfig next) {
        List<String> differing = new ArrayList<>();
        for (Function<PlatformConfig, Object> part : List.<Function<PlatformConfig, Object>>of(
                PlatformConfig::name,
                PlatformConfig::listen,
                PlatformConfig::operator,
                PlatformConfig::maxDescriptors,
                PlatformConfig::zones)) {
            if (!Objects.equals(part.apply(this), part.apply(next))) {
                differing.add(part.apply(this) + " stays, not " + part.apply(next));
            }
        }
        return differing;
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
        List<String> classes = new ArrayList<>();
        for (JsonNode c : settings.path("classes")) {
            String name = c.path("name").asText("");
            if (name.isEmpty() || classes.contains(name)) {
                throw new InvalidConfigurationException("settings.classes." + classes.size() + ".name "
                        + (name.isEmpty() ? "is missing" : "is there twice"));
            }
            classes.add(name);
        }
        List<String> zones = new ArrayList<>();
        settings.path("zones").forEach(z -> zones.add(z.asText()));
        JsonNode known = root.path("known");
        String operator =
                env.getOrDefault("PROXY_OPERATOR", root.path("operator").asText(""));
        return new PlatformConfig(
                env.getOrDefault("PROXY_NAME", root.path("name").asText("relay")),
                Address.parse(value(root, env, "listen", "PROXY_LISTEN"), "listen"),
                Address.parse(value(root, env, "discovery", "PROXY_DISCOVERY"), "discovery"),
                operator.isEmpty() ? null : Address.parse(operator, "operator"),
                socketInherited(env.get("PROXY_SOCKET_FD")),
                seed(root.path("seed")),
                root.path("limits").path("sockets").asInt(4096),
                new EffectiveSettings(
                        reader.settings(),
                        classes,
                        settings.path("family_info").path("tells_delay").asBoolean(false)),
                List.copyOf(zones),
                known.isObject() ? new EndpointListJson(zones, kinds).readUpdate(known, true) : null,
                ConfigurationKeys.of(root));
    }

    /** The virtual machine can take descriptor 0 and no other. */
    private static boolean socketInherited(String descriptor) throws InvalidConfigurationException {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.equals("0")) {
            throw new InvalidConfigurationException(
                    "PROXY_SOCKET_FD is " + descriptor + "; only descriptor 0 can be taken");
        }
        return true;
    }

    private static String value(JsonNode root, Map<String, String> env, String field, String variable)
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
