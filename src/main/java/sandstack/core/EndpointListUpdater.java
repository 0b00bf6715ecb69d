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
 * Applies updates of the endpoint list to the registry and forwards them to the load balancer. Used on the event loop's
 * thread only.
 */
final class EndpointListUpdater {
    /**
     * How long a feed server counts as draining after it has sent a client a migration message, unless an update from
     * discovery replaces its entry before.
     */
    private static final long ASSUMED_DRAINING_MICROS = 10_000_000;

    private static final long NO_VERSION = -1;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final EndpointRegistry endpoints;
    private final BalancerDriver balancer;
    /** The failure reasons logged since the last update, so that each is logged once. */
    private final Set<String> loggedFailures = new HashSet<>();

    /** Version of the list that was taken over from a sibling process since the last request; -1 if there is none. */
    private long siblingListVersion = NO_VERSION;

    EndpointListUpdater(
            LongSupplier clock, DeadlineScheduler deadlines, EndpointRegistry endpoints, BalancerDriver balancer) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.endpoints = endpoints;
        this.balancer = balancer;
    }

    /** The current endpoint of a feed server; null if it is not listed. */
    EndpointRegistry.Endpoint endpoint(String serverId) {
        return endpoints.get(serverId);
    }

    /** Applies an update from discovery, unless a sibling process has passed on a later list. */
    void applyFromDiscovery(EndpointRegistry.Update update) {
        if (isContainedInSiblingList(update)) {
            balancer.enqueue(new EndpointListUpdate(EndpointListKind.DELTA, List.of()));
        } else {
            apply(update);
        }
    }

    private boolean isContainedInSiblingList(EndpointRegistry.Update update) {
        return update.kind() == EndpointListKind.DELTA
                ? update.version() <= siblingListVersion
                : update.version() < siblingListVersion;
    }

    /**
     * Applies the complete list of a sibling process, which discovery has told to that process and so to this relay; no
     * effect if this process knows as much.
     */
    void applyFromSibling(EndpointRegistry.Update update) {
        if (update.version() > endpoints.version()) {
            siblingListVersion = update.version();
            LOG.info("endpoint list taken over from sibling process version=" + update.version() + " count="
                    + update.endpoints().size());
            apply(new EndpointRegistry.Update(EndpointListKind.FULL, update.version(), update.endpoints()));
        }
    }

    /** Called when the changes since the present list are requested from discovery: all that it sends now is later. */
    void onRequested() {
        siblingListVersion = NO_VERSION;
    }

    private void apply(EndpointRegistry.Update update) {
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
        // an unreachable discovery agent is polled many times per second
        if (loggedFailures.add(reason)) {
            LOG.info("discovery watch failed reason=\"" + reason + "\"");
        }
        balancer.enqueue(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
    }

    /**
     * Marks a feed server as draining after it has sent a client a migration message. Discovery reports the drain only
     * seconds later; without this, clients that reconnect meanwhile would be placed on that server again.
     */
    void assumeDraining(EndpointRegistry.Endpoint endpoint) {
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
