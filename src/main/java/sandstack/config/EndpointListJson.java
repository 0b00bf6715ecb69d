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

/** Discovery's form of the name table, as it comes from discovery and in the configuration. */
public final class EndpointListJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> zones;
    private final MachineKinds kinds;

    /**
     * Creates a reader for these zones; machine kinds that it meets are added to {@code kinds}.
     *
     * @param zones names of the settings' zones, in their order
     */
    public EndpointListJson(List<String> zones, MachineKinds kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Reads one object of the list.
     *
     * @param saved the list is one that was kept, and may be old
     */
    public EndpointRegistry.Update readUpdate(JsonNode object, boolean saved) throws InvalidConfigurationException {
        List<EndpointRegistry.Endpoint> lines = new ArrayList<>();
        for (JsonNode target : object.path("targets")) {
            lines.add(line(target));
        }
        if (!object.path("rev").isNumber()) {
            throw new InvalidConfigurationException("the list of feed servers has no rev");
        }
        EndpointListKind kind = saved
                ? EndpointListKind.CACHED
                : object.path("all").asBoolean() ? EndpointListKind.FULL : EndpointListKind.DELTA;
        return new EndpointRegistry.Update(kind, object.path("rev").asLong(), lines);
    }

    private EndpointRegistry.Endpoint line(JsonNode target) throws InvalidConfigurationException {
        String uid = target.path("uid").asText("");
        EndpointState phase =
                switch (target.path("state").asText()) {
                    case "ready" -> EndpointState.READY;
                    case "draining" -> EndpointState.DRAINING;
                    case "gone" -> EndpointState.GONE;
                    default -> throw new InvalidConfigurationException("feed server " + uid + " has no known state");
                };
        if (uid.isEmpty()) {
            throw new InvalidConfigurationException("a feed server has no uid");
        }
        String endpoint = target.path("endpoint").asText("");
        PlatformConfig.Address address = phase == EndpointState.GONE && endpoint.isEmpty()
                ? new PlatformConfig.Address("", 0)
                : PlatformConfig.Address.parse(endpoint, "endpoint of " + uid);
        return new EndpointRegistry.Endpoint(
                new EndpointEntry(
                        uid,
                        zone(target.path("az")),
                        target.path("pod_group").asInt(),
                        kinds.of(target.path("model").asText("")),
                        target.path("boot_ms").asLong() * 1000,
                        phase,
                        target.path("capacity_hint").asDouble(1)),
                address.host(),
                address.port());
    }

    /** The name table in this form, as one whole list. */
    public String toJson(EndpointRegistry names) {
        ObjectNode list = JSON.createObjectNode().put("rev", names.version()).put("all", true);
        ArrayNode targets = list.putArray("targets");
        for (EndpointRegistry.Endpoint line : names.endpoints()) {
            EndpointEntry e = line.entry();
            targets.addObject()
                    .put("uid", e.serverId())
                    .put("endpoint", line.host() + ":" + line.port())
                    .put("az", e.zone() < zones.size() ? zones.get(e.zone()) : "")
                    .put("model", kinds.name(e.machineKind()))
                    .put("pod_group", e.cell())
                    .put("state", e.state() == EndpointState.READY ? "ready" : "draining")
                    .put("capacity_hint", e.rating())
                    .put("boot_ms", e.startedAtMicros() / 1000);
        }
        return list.toString();
    }

    /** Reads what {@link #toJson} gave, as a list that was kept. */
    public EndpointRegistry.Update readCached(String text) throws InvalidConfigurationException {
        try {
            return readUpdate(JSON.readTree(text), true);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException("a kept list of feed servers is not JSON");
        }
    }

    /** A zone that the settings do not name is no relay's home: it stands behind all others. */
    private int zone(JsonNode az) {
        int zone = zones.indexOf(az.asText());
        return zone < 0 ? zones.size() : zone;
    }
}
