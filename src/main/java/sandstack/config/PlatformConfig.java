package sandstack.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.core.NameTable;
import sandstack.core.Terms;

/**
 * What the platform tells a relay: the file that PROXY_CONFIG names, and the variables beside it, which come
 * before the file.
 *
 * @param operator where operators are answered; null where they are not
 * @param inherits clients come at a listening socket that the process has inherited as descriptor 0
 * @param known the name table as this relay last had it; null where there is none
 * @param sockets file descriptors that the process may hold
 */
public record PlatformConfig(String name, Address listen, Address discovery, Address operator, boolean inherits,
        long seed, int sockets, Terms terms, List<String> zones, NameTable.News known) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A host and a port. */
    public record Address(String host, int port) {
        /** Reads {@code HOST:PORT}. */
        public static Address parse(String text, String what) throws BadSettings {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (colon > 0 && port >= 0 && port < 65536) {
                    return new Address(text.substring(0, colon), port);
                }
            } catch (NumberFormatException e) {
                // told below
            }
            throw new BadSettings(what + " is not HOST:PORT: " + text);
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
    public static PlatformConfig load(Map<String, String> env, MachineKinds kinds) throws BadSettings {
        String file = env.get("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new BadSettings("PROXY_CONFIG is not set");
        }
        try {
            return read(JSON.readTree(Files.readAllBytes(Path.of(file))), env, kinds);
        } catch (JsonProcessingException e) {
            throw new BadSettings(file + " is not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new BadSettings("cannot read " + file + ": " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new BadSettings(file + ": " + e.getMessage());
        }
    }

    /**
     * Reads the configuration once more, after its file was replaced: from then on the file says where discovery
     * is, as the variable still has the address of the start.
     */
    public static PlatformConfig reload(Map<String, String> env) throws BadSettings {
        Map<String, String> rest = new HashMap<>(env);
        rest.remove("PROXY_DISCOVERY");
        return load(rest, new MachineKinds(List.of()));
    }

    private static PlatformConfig read(JsonNode root, Map<String, String> env, MachineKinds kinds)
            throws BadSettings, IOException {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new BadSettings("settings is missing");
        }
        SettingsReader reader = new SettingsReader();
        try (JsonParser in = settings.traverse(JSON)) {
            in.nextToken();
            reader.read(in);
        }
        List<String> classes = new ArrayList<>();
        settings.path("classes").forEach(c -> classes.add(c.path("name").asText()));
        List<String> zones = new ArrayList<>();
        settings.path("zones").forEach(z -> zones.add(z.asText()));
        JsonNode known = root.path("known");
        String operator = env.getOrDefault("PROXY_OPERATOR", root.path("operator").asText(""));
        return new PlatformConfig(env.getOrDefault("PROXY_NAME", root.path("name").asText("relay")),
                Address.parse(value(root, env, "listen", "PROXY_LISTEN"), "listen"),
                Address.parse(value(root, env, "discovery", "PROXY_DISCOVERY"), "discovery"),
                operator.isEmpty() ? null : Address.parse(operator, "operator"), inherits(env.get("PROXY_SOCKET_FD")),
                seed(root.path("seed")), root.path("limits").path("sockets").asInt(4096),
                new Terms(reader.settings(), classes,
                        settings.path("family_info").path("tells_delay").asBoolean(false)),
                List.copyOf(zones),
                known.isObject() ? new NameTableJson(zones, kinds).news(known, true) : null);
    }

    /** The virtual machine can take descriptor 0 and no other. */
    private static boolean inherits(String descriptor) throws BadSettings {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.equals("0")) {
            throw new BadSettings("PROXY_SOCKET_FD is " + descriptor + "; only descriptor 0 can be taken");
        }
        return true;
    }

    private static String value(JsonNode root, Map<String, String> env, String field, String variable)
            throws BadSettings {
        String text = env.getOrDefault(variable, root.path(field).asText(""));
        if (text.isEmpty()) {
            throw new BadSettings(field + " is missing");
        }
        return text;
    }

    private static long seed(JsonNode seed) throws BadSettings {
        try {
            return seed.isNumber() ? seed.longValue() : Long.parseUnsignedLong(seed.asText(""), 16);
        } catch (NumberFormatException e) {
            throw new BadSettings("seed is not a hexadecimal number of 64 bits");
        }
    }
}
