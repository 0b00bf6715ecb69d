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
 * Reads and writes the endpoint list in discovery's JSON form, which the configuration has too. Not thread-safe, as it
 * adds to the machine kinds.
 */
public final class EndpointListJson {
    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";
    private static final String STATE_GONE = "gone";
    private static final int MICROS_PER_MILLI = 1000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> zones;
    private final MachineKinds kinds;

    /**
     * Creates a reader for these zones; machine kinds that it reads are added to {@code kinds}.
     *
     * @param zones names of the settings' zones, in their order
     */
    public EndpointListJson(List<String> zones, MachineKinds kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Reads one update of discovery, a full list or a delta. */
    public EndpointRegistry.Update readUpdate(JsonNode object) throws InvalidConfigurationException {
        return read(object, object.path("all").asBoolean() ? EndpointListKind.FULL : EndpointListKind.DELTA);
    }

    /** Reads a cached list, which may be stale. */
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

    /** A server that is gone may have no address. */
    private static PlatformConfig.Address address(JsonNode target, EndpointState state, String uid)
            throws InvalidConfigurationException {
        String text = target.path("endpoint").asText("");
        return state == EndpointState.GONE && text.isEmpty()
                ? new PlatformConfig.Address("", 0)
                : PlatformConfig.Address.parse(text, "endpoint of " + uid);
    }

    /** The endpoint list in this form, as one full list. */
    public String toJson(EndpointRegistry endpoints) {
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
        return list.toString();
    }

    /** Reads the text of {@link #toJson} as a cached list. */
    public EndpointRegistry.Update readCached(String text) throws InvalidConfigurationException {
        try {
            return readCached(JSON.readTree(text));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException("a kept list of feed servers is not JSON");
        }
    }

    /** A zone that the settings do not name gets the position after all others. */
    private int zone(JsonNode zoneName) {
        int index = zones.indexOf(zoneName.asText());
        return index < 0 ? zones.size() : index;
    }
}
