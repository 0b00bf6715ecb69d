package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/**
 * The feed servers as discovery last listed them to this relay, with their addresses. Used on the event loop's thread
 * only.
 */
public final class EndpointRegistry {
    /** One feed server: its entry for the load balancer, and the address at which it accepts this relay. */
    public record Endpoint(EndpointEntry entry, String host, int port) {
        /** The same feed server in another state. */
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

    /** An update from discovery: the complete list or what changed, and the version that results. */
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

    /** The endpoint of this feed server; null where it is not listed. */
    public Endpoint get(String serverId) {
        return endpoints.get(serverId);
    }

    /**
     * Whether no update has replaced this endpoint since. Compares identity: an equal endpoint of a later update is
     * another one.
     */
    boolean isCurrent(Endpoint endpoint) {
        Object current = endpoints.get(endpoint.entry().serverId());
        return current == endpoint;
    }

    /** The endpoints of all listed feed servers; a live view. */
    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** Whether discovery has sent a list since the start. */
    public boolean hasDiscoveryList() {
        return hasDiscoveryList;
    }

    /** How often the list has changed since the start. */
    public long changeCount() {
        return changeCount;
    }

    /** Whether a feed server is listed that accepts clients. */
    public boolean hasReadyServer() {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.entry().state() == EndpointState.READY);
    }

    /** Version of the list; -1 before any has been received. */
    public long version() {
        return version;
    }
}
