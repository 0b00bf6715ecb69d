package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/** Discovery's list of feed servers as this relay last heard it, with their addresses. */
public final class EndpointRegistry {
    /** One feed server: what the module is told of it, and where it listens for this relay. */
    public record Endpoint(EndpointEntry entry, String host, int port) {
        /** The same feed server in another phase. */
        Endpoint withState(EndpointState state) {
            return new Endpoint(
                    new EndpointEntry(
                            entry.serverId(),
                            entry.zone(),
                            entry.cell(),
                            entry.machineKind(),
                            entry.startedAtMicros(),
                            state,
                            entry.rating()),
                    host,
                    port);
        }
    }

    /** News from discovery: the whole list or what changed, and the version that it leads to. */
    public record Update(EndpointListKind kind, long version, List<Endpoint> endpoints) {
        List<EndpointEntry> entries() {
            return endpoints.stream().map(Endpoint::entry).toList();
        }
    }

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private long version = -1;
    private boolean hasDiscoveryList;
    private long changeCount;

    void apply(Update update) {
        if (update.kind() != EndpointListKind.DELTA) {
            endpoints.clear();
        }
        version = update.version();
        changeCount++;
        hasDiscoveryList |= update.kind() != EndpointListKind.CACHED;
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.entry().state() == EndpointState.GONE) {
                endpoints.remove(endpoint.entry().serverId());
            } else {
                endpoints.put(endpoint.entry().serverId(), endpoint);
            }
        }
    }

    /** The line of this feed server; null where it is not listed. */
    public Endpoint get(String serverId) {
        return endpoints.get(serverId);
    }

    /** The lines of all listed feed servers; a view that follows the table. */
    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** Whether discovery has told anything since the start. */
    public boolean hasDiscoveryList() {
        return hasDiscoveryList;
    }

    /** How often the list has changed since the start. */
    public long changeCount() {
        return changeCount;
    }

    /** Whether a feed server is listed that takes clients. */
    public boolean hasReadyServer() {
        return endpoints.values().stream().anyMatch(line -> line.entry().state() == EndpointState.READY);
    }

    /** Version of the list; -1 before any has come. */
    public long version() {
        return version;
    }
}
