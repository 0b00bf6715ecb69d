package sandstack.decisions;

import java.util.List;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.HealthCheckEnded;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.PeerMessage;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.decisions.BalancerEvent.TenantsChanged;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.decisions.TrackedRequest.State;

/**
 * The load balancer of one relay. {@link #handle} takes a {@link BalancerEvent} and returns the {@link BalancerAction}s
 * that the host has to carry out. There is no I/O, clock, thread or shared state: the same settings, seed and events
 * give the same actions.
 *
 * <p>This class wires the parts, dispatches events to them and runs the periodic update; docs/design.md lists the class
 * that implements each rule. Not thread-safe: all calls are made on one thread. An event costs O(servers), plus
 * O(connections of a server) for each server that becomes slow or starts draining, and the first event after each
 * update interval O(servers + requests).
 */
public final class LoadBalancer {
    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final EndpointListPoller endpointListPoller;
    private final ConnectionTracker connections;
    private final ServerHeadroom headroom;
    private final FleetOverloadDetector overloadDetector;
    private final LoadShedder shedder;
    private final ServerPicker picker;
    private final SlowServerMigration slowServerMigration;
    private final DrainMigration drainMigration;
    private final LoadRebalancer rebalancer;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final BalancerEvent.Handler eventHandler = new EventHandler();
    private long nextUpdateMicros;

    /**
     * Creates a load balancer without servers.
     *
     * @param statedCapacities capacities of the servers as the operator states them
     * @param limits limits of the installation on connections and set-ups
     * @param seed seed of all random draws
     * @param nowMicros time of the creation, on the clock of the events
     */
    public LoadBalancer(
            BalancerSettings initialSettings,
            StatedCapacities statedCapacities,
            InstallationLimits limits,
            long seed,
            long nowMicros) {
        context = new BalancerContext(initialSettings, statedCapacities, limits, seed, nowMicros);
        drainMigration = new DrainMigration(context);
        endpointListPoller = new EndpointListPoller(context);
        endpoints = new EndpointTable(context, drainMigration, endpointListPoller);
        headroom = new ServerHeadroom(context);
        connections = new ConnectionTracker(context);
        overloadDetector = new FleetOverloadDetector(endpoints, headroom);
        shedder = new LoadShedder(context);
        picker = new ServerPicker(context, endpoints, headroom, overloadDetector);
        slowServerMigration = new SlowServerMigration(context, endpoints, headroom, shedder);
        rebalancer = new LoadRebalancer(context, endpoints, headroom);
        requests = new RequestTable(context, connections, limits);
        lifecycle = new RequestLifecycle(context, endpoints, connections, shedder, picker, requests);
        nextUpdateMicros = nowMicros;
    }

    /**
     * Processes an event and returns the actions to carry out, in order.
     *
     * @param nowMicros time of the event; if it is before the time of a previous event, the latter applies
     */
    public List<BalancerAction> handle(BalancerEvent event, long nowMicros) {
        context.beginEvent(nowMicros);
        updateIfDue();
        event.dispatch(eventHandler);
        return context.actions();
    }

    /**
     * Whether the server gets no new requests now because it is unknown, not ready, ejected or slow, or because the
     * connections of this relay have brought it to {@link HeadroomWeight#CLOSED_UTILIZATION}. Being half-open, or full
     * by its learned limits, does not close a server in this sense.
     */
    public boolean isClosedToNewRequests(String serverId) {
        ServerState server = endpoints.get(serverId);
        return server == null || !server.isReady() || headroom.isOverloaded(server);
    }

    /** Runs the periodic update on the first event of each {@link BalancerContext#updateIntervalMicros}. */
    private void updateIfDue() {
        if (context.nowMicros() < nextUpdateMicros) {
            return;
        }
        nextUpdateMicros = context.nowMicros() + context.updateIntervalMicros();
        boolean fleetOverloaded = overloadDetector.update();
        slowServerMigration.update();
        rebalancer.update();
        shedder.update(requests.all(), fleetOverloaded);
    }

    /** Passes each event to the part that handles it. */
    private final class EventHandler implements BalancerEvent.Handler {
        @Override
        public void endpointListUpdate(EndpointListUpdate event) {
            endpoints.onEndpointList(event);
        }

        @Override
        public void connectRequested(ConnectRequested event) {
            if (context.settings().hasClass(event.classIndex())) {
                lifecycle.onArrived(event);
            } else {
                context.addAction(new Fail(event.requestId()));
            }
        }

        @Override
        public void connectionAdopted(ConnectionAdopted event) {
            ServerState server = endpoints.getOrAdd(event.serverId());
            if (context.settings().hasClass(event.request().classIndex())) {
                lifecycle.onAdopted(event, server);
            }
        }

        @Override
        public void connectionEstablished(ConnectionEstablished event) {
            lifecycle.onEstablished(event);
        }

        @Override
        public void loadReported(LoadReported event) {
            TrackedRequest request = requests.get(event.requestId());
            if (request != null && request.state == State.ESTABLISHED) {
                double load = CapacityEstimate.sanitizeLoad(event.load());
                connections.onLoadReported(request, load);
                shedder.onLoadReported(request, load);
            }
        }

        @Override
        public void delayReported(DelayReported event) {
            ServerState server = endpoints.get(event.serverId());
            if (server != null) {
                slowServerMigration.onDelayReported(server, event.delayMicros());
            }
        }

        @Override
        public void attemptEnded(AttemptEnded event) {
            lifecycle.onAttemptEnded(event);
        }

        @Override
        public void clientDisconnected(ClientDisconnected event) {
            TrackedRequest request = requests.get(event.requestId());
            if (request != null) {
                requests.remove(request);
            }
        }

        @Override
        public void timerExpired(TimerExpired event) {
            if (event.token() == EndpointListPoller.TIMER_TOKEN) {
                endpointListPoller.poll();
                return;
            }
            TrackedRequest request = context.takeExpired(event.token());
            if (request == null) {
                return;
            }
            if (request.state == State.ESTABLISHED) {
                onConnectionTimer(request);
            } else if (request.state == State.WAITING) {
                lifecycle.place(request);
            }
        }

        /**
         * Handles the only timer of an established connection, which is set for the end of a trial of its server or for
         * the migration off a draining server. The current state of the server decides which of the two applies: on a
         * ready server the connection counts as a successful trial, even if the timer was set for a migration.
         */
        private void onConnectionTimer(TrackedRequest request) {
            if (request.server.isReady()) {
                request.server.outlierDetector.onTrialSucceeded();
            } else {
                drainMigration.migrate(request);
            }
        }

        @Override
        public void healthCheckEnded(HealthCheckEnded event) {
            // ignored: a health check does not prove that a server serves requests, so only attempts are evidence
        }

        @Override
        public void tenantsChanged(TenantsChanged event) {
            shedder.setTenants(event.tenants());
        }

        @Override
        public void settingsChanged(SettingsChanged event) {
            context.applySettings(event.settings());
            shedder.setClassCount(event.settings().classes().size());
            picker.setClasses(event.settings().classes());
        }

        @Override
        public void processCountChanged(ProcessCountChanged event) {
            context.setProcessCount(event.count());
        }

        @Override
        public void peerMessage(PeerMessage event) {
            // ignored: relays exchange no messages, and each decides by its own evidence
        }
    }
}
