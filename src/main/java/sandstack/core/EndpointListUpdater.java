package sandstack.core;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/**
 * Applies updates of the endpoint list, and passes each on to the load balancer. Used on the event loop's thread only.
 */
final class EndpointListUpdater {
    /** A feed server that sent a client away counts as draining for so long, unless discovery lists it anew. */
    private static final long ASSUMED_DRAINING_MICROS = 10_000_000;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final EndpointRegistry endpoints;
    private final BalancerDriver balancer;
    /** Reasons for which discovery could not be polled since its last update; each has been logged once. */
    private final Set<String> loggedFailures = new HashSet<>();

    EndpointListUpdater(
            LongSupplier clock, DeadlineScheduler deadlines, EndpointRegistry endpoints, BalancerDriver balancer) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.endpoints = endpoints;
        this.balancer = balancer;
    }

    /** The feed server as it is listed now; null where it is not. */
    EndpointRegistry.Endpoint endpoint(String serverId) {
        return endpoints.get(serverId);
    }

    void apply(EndpointRegistry.Update update) {
        endpoints.apply(update);
        loggedFailures.clear();
        balancer.enqueue(new EndpointListUpdate(update.kind(), update.entries()));
        for (EndpointRegistry.Endpoint endpoint : update.endpoints()) {
            LOG.fine(() -> "endpoint received kind=" + update.kind() + " version=" + update.version() + " address="
                    + endpoint.host() + ":" + endpoint.port() + " entry=\"" + endpoint.entry() + "\"");
            if (update.kind() == EndpointListKind.DELTA) {
                LOG.info("endpoint state changed server=" + endpoint.entry().serverId() + " state="
                        + endpoint.entry().state());
            }
        }
    }

    void failed(String reason) {
        // a discovery agent that is away is polled many times a second
        if (loggedFailures.add(reason)) {
            LOG.info("discovery watch failed reason=\"" + reason + "\"");
        }
        balancer.enqueue(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
    }

    /**
     * A feed server that sends its clients away is draining, and discovery lists that only seconds later: until then
     * clients that reconnect would be placed there again.
     */
    void serverSentClientAway(EndpointRegistry.Endpoint endpoint) {
        EndpointEntry entry = endpoint.entry();
        if (!endpoints.isCurrent(endpoint) || entry.state() != EndpointState.READY) {
            return;
        }
        EndpointRegistry.Endpoint draining = endpoint.withState(EndpointState.DRAINING);
        apply(delta(draining));
        deadlines.schedule(clock.getAsLong() + ASSUMED_DRAINING_MICROS, () -> {
            if (endpoints.isCurrent(draining)) {
                apply(delta(endpoint));
            }
        });
    }

    private EndpointRegistry.Update delta(EndpointRegistry.Endpoint endpoint) {
        return new EndpointRegistry.Update(EndpointListKind.DELTA, endpoints.version(), List.of(endpoint));
    }
}
