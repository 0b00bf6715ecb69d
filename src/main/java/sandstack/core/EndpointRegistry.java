package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/**
 * The current endpoint list: the feed servers as the latest updates describe them, with their addresses. Used on the
 * event loop's thread only.
 */
public final class EndpointRegistry {
    /** One feed server: its entry for the load balancer, and the address at which relays connect to it. */
    public record Endpoint(EndpointEntry entry, String host, int port) {
        /** Returns a copy with another state. */
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

    /** All endpoints or only the changed ones, depending on the kind, and the version of the list after the update. */
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

    /** The endpoint of a feed server; null if it is not listed. */
    public Endpoint get(String serverId) {
        return endpoints.get(serverId);
    }

    /**
     * Whether no update has replaced or removed this endpoint. Compares identity, because an equal endpoint of a later
     * update counts as a replacement.
     */
    boolean isCurrent(Endpoint endpoint) {
        Object current = endpoints.get(endpoint.entry().serverId());
        return current == endpoint;
    }

    /** The endpoints of all listed feed servers, as a view that reflects later updates. */
    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** Whether discovery has sent an update since the process started; a cached list does not count. */
    public boolean hasDiscoveryList() {
        return hasDiscoveryList;
    }

    /** The number of updates applied since the process started. */
    public long changeCount() {
        return changeCount;
    }

    /** Whether at least one listed feed server accepts new clients. */
    public boolean hasReadyServer() {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.entry().state() == EndpointState.READY);
    }

    /** The version in the latest update; -1 before the first. */
    public long version() {
        return version;
    }
}
