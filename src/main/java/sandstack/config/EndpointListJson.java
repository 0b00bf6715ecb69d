package sandstack.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import sandstack.core.EndpointRegistry;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/**
 * Reads and writes the endpoint list in discovery's JSON format, which the configuration file uses too. Not
 * thread-safe, because reading adds machine kinds to a shared {@link MachineKinds}.
 */
public final class EndpointListJson {
    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";
    private static final String STATE_GONE = "gone";
    /** Not part of discovery's format: where the list comes from. */
    private static final String SOURCE = "discovery";

    private static final int MICROS_PER_MILLI = 1000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> zones;
    private final MachineKinds kinds;

    /**
     * Creates a reader and writer for an installation with these zones.
     *
     * @param zones names of the zones, in the order of the settings
     * @param kinds receives the machine kinds of the lists that are read
     */
    public EndpointListJson(List<String> zones, MachineKinds kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Reads one update from discovery, which is a full list or a delta. */
    public EndpointRegistry.Update readUpdate(JsonNode object) throws InvalidConfigurationException {
        return read(object, object.path("all").asBoolean() ? EndpointListKind.FULL : EndpointListKind.DELTA);
    }

    /** Reads a list that may be stale, because it does not come from discovery. */
    EndpointRegistry.Update readCached(JsonNode object) throws InvalidConfigurationException {
        return read(object, EndpointListKind.CACHED);
    }

    private EndpointRegistry.Update read(JsonNode object, EndpointListKind kind) throws InvalidConfigurationException {
        List<EndpointRegistry.Endpoint> endpoints = new ArrayList<>();
        for (JsonNode target : object.path("targets")) {
            endpoints.add(endpoint(target));
        }
        if (!object.path("rev").isNumber()) {
            throw new InvalidConfigurationException("the list of feed servers has no rev");
        }
        return new EndpointRegistry.Update(kind, object.path("rev").asLong(), endpoints);
    }

    private EndpointRegistry.Endpoint endpoint(JsonNode target) throws InvalidConfigurationException {
        String uid = target.path("uid").asText("");
        EndpointState state = state(target, uid);
        if (uid.isEmpty()) {
            throw new InvalidConfigurationException("a feed server has no uid");
        }
        PlatformConfig.Address address = address(target, state, uid);
        EndpointEntry entry = new EndpointEntry(
                uid,
                zone(target.path("az")),
                target.path("pod_group").asInt(),
                kinds.indexOf(target.path("model").asText("")),
                target.path("boot_ms").asLong() * MICROS_PER_MILLI,
                state,
                target.path("capacity_hint").asDouble(1));
        return new EndpointRegistry.Endpoint(entry, address.host(), address.port());
    }

    private static EndpointState state(JsonNode target, String uid) throws InvalidConfigurationException {
        return switch (target.path("state").asText()) {
            case STATE_READY -> EndpointState.READY;
            case STATE_DRAINING -> EndpointState.DRAINING;
            case STATE_GONE -> EndpointState.GONE;
            default -> throw new InvalidConfigurationException("feed server " + uid + " has no known state");
        };
    }

    /** Reads the server's address, which may be missing if the server is gone. */
    private static PlatformConfig.Address address(JsonNode target, EndpointState state, String uid)
            throws InvalidConfigurationException {
        String text = target.path("endpoint").asText("");
        return state == EndpointState.GONE && text.isEmpty()
                ? new PlatformConfig.Address("", 0)
                : PlatformConfig.Address.parse(text, "endpoint of " + uid);
    }

    /** Writes the endpoint list as one full list. */
    public String toJson(EndpointRegistry endpoints) {
        return write(endpoints).toString();
    }

    private ObjectNode write(EndpointRegistry endpoints) {
        ObjectNode list =
                JSON.createObjectNode().put("rev", endpoints.version()).put("all", true);
        ArrayNode targets = list.putArray("targets");
        for (EndpointRegistry.Endpoint endpoint : endpoints.endpoints()) {
            EndpointEntry entry = endpoint.entry();
            targets.addObject()
                    .put("uid", entry.serverId())
                    .put("endpoint", endpoint.host() + ":" + endpoint.port())
                    .put("az", entry.zone() < zones.size() ? zones.get(entry.zone()) : "")
                    .put("model", kinds.name(entry.machineKind()))
                    .put("pod_group", entry.cell())
                    .put("state", entry.state() == EndpointState.READY ? STATE_READY : STATE_DRAINING)
                    .put("capacity_hint", entry.rating())
                    .put("boot_ms", entry.startedAtMicros() / MICROS_PER_MILLI);
        }
        return list;
    }

    /** Writes the endpoint list as one full list, with the address of the discovery that it comes from. */
    public String toJson(EndpointRegistry endpoints, PlatformConfig.Address source) {
        return write(endpoints).put(SOURCE, source.toString()).toString();
    }

    /** The address that a text of {@link #toJson(EndpointRegistry, PlatformConfig.Address)} names; empty if none. */
    public static String sourceOf(String text) throws InvalidConfigurationException {
        return parse(text).path(SOURCE).asText("");
    }

    /** Reads a text that {@link #toJson} has written, as a cached list, which may be stale. */
    public EndpointRegistry.Update readCached(String text) throws InvalidConfigurationException {
        return readCached(parse(text));
    }

    private static JsonNode parse(String text) throws InvalidConfigurationException {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException("the cached list of feed servers is not JSON");
        }
    }

    /** The zone's position; a zone that the settings do not name has the position after all others. */
    private int zone(JsonNode zoneName) {
        int index = zones.indexOf(zoneName.asText());
        return index < 0 ? zones.size() : index;
    }
}
