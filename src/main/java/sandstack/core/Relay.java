package sandstack.core;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.RejectionReason;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.decisions.BalancerEvent.TenantsChanged;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.LoadBalancer;

/**
 * The relay's logic without sockets: the facade for the fronts, the discovery watch and the operator tools. Fronts
 * report requests and disconnects; each turn runs the expired deadlines, passes the queued events to the load balancer
 * and executes its actions.
 *
 * <p>Not thread-safe: everything here and in the parts it delegates to runs on the event loop's thread.
 */
public final class Relay {
    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final TenantRegistry tenants = new TenantRegistry();
    private final RelayMetrics metrics = new RelayMetrics();
    private final ActiveSettings settings;
    private final BalancerDriver balancer;
    private final RequestRegistry requests;
    private final EndpointListUpdater endpointListUpdater;
    private final GracefulShutdown shutdown;
    private final AttemptCoordinator attempts;
    private final Runnable pollDiscovery;

    /**
     * Creates a relay without stated capacities and without installation limits. The name of each request class is its
     * position.
     *
     * @param clock a monotonic clock in microseconds
     * @param pollDiscovery polls discovery; the result is reported through {@link #onEndpointList} or
     *     {@link #onEndpointListFailed}
     */
    public Relay(BalancerSettings settings, long seed, LongSupplier clock, Runnable pollDiscovery) {
        this(
                EffectiveSettings.numbered(settings),
                StatedCapacities.NONE,
                InstallationLimits.NONE,
                seed,
                clock,
                pollDiscovery);
    }

    /**
     * Creates a relay whose endpoint list is empty.
     *
     * @param statedCapacities the operator's statements about the feed servers' capacity
     * @param limits limits of the installation
     * @param seed seed for the random numbers in load balancing and graceful shutdown
     * @param clock a monotonic clock in microseconds
     * @param pollDiscovery as in {@link #Relay(BalancerSettings, long, LongSupplier, Runnable)}
     */
    public Relay(
            EffectiveSettings effectiveSettings,
            StatedCapacities statedCapacities,
            InstallationLimits limits,
            long seed,
            LongSupplier clock,
            Runnable pollDiscovery) {
        this(effectiveSettings, statedCapacities, limits, seed, clock, pollDiscovery, new LocalRequestIds());
    }

    /**
     * Creates a relay that shares the ids of its requests with other processes.
     *
     * @param requestIds the ids that requests have claimed
     */
    public Relay(
            EffectiveSettings effectiveSettings,
            StatedCapacities statedCapacities,
            InstallationLimits limits,
            long seed,
            LongSupplier clock,
            Runnable pollDiscovery,
            RequestIds requestIds) {
        this.clock = clock;
        this.pollDiscovery = pollDiscovery;
        settings = new ActiveSettings(effectiveSettings);
        metrics.classesOffered(effectiveSettings.offeredClasses());
        LoadBalancer loadBalancer =
                new LoadBalancer(settings.balancerSettings(), statedCapacities, limits, seed, clock.getAsLong());
        balancer = new BalancerDriver(loadBalancer, new ActionHandler());
        requests = new RequestRegistry(clock, deadlines, settings, balancer, metrics, requestIds);
        endpointListUpdater = new EndpointListUpdater(clock, deadlines, endpoints, balancer);
        shutdown = new GracefulShutdown(clock, deadlines, settings, requests, new SplittableRandom(seed));
        attempts = new AttemptCoordinator(
                clock, deadlines, settings, balancer, metrics, requests, endpointListUpdater, shutdown);
    }

    /** Runs one turn of the event loop. */
    public void runTurn() {
        long now = clock.getAsLong();
        deadlines.runExpired(now);
        balancer.processEvents(now);
        shutdown.runTurn(now);
    }

    /** When the next turn is due if no event arrives before; {@link Long#MIN_VALUE} if events are queued already. */
    public long nextTurnMicros() {
        return balancer.hasEvents() ? Long.MIN_VALUE : deadlines.nextMicros();
    }

    /** Dispatches each action of the load balancer to the object that executes it. */
    private final class ActionHandler implements BalancerAction.Handler<RuntimeException> {
        @Override
        public void startAttempt(StartAttempt action) {
            attempts.start(action);
        }

        @Override
        public void setTimer(SetTimer action) {
            deadlines.schedule(
                    clock.getAsLong() + action.delayMicros(), () -> balancer.enqueue(new TimerExpired(action.token())));
        }

        @Override
        public void reject(Reject action) {
            metrics.rejectedByBalancer(action.reason());
            requests.answer(action.requestId(), Rejection.rejected(action.retryAfterMicros(), action.reason()));
        }

        @Override
        public void fail(Fail action) {
            requests.answer(action.requestId(), Rejection.FAILED);
        }

        @Override
        public void migrate(Migrate action) {
            ClientSession client = requests.get(action.requestId());
            if (client != null) {
                client.migrate();
            }
        }

        @Override
        public void watchEndpointList(WatchEndpointList action) {
            pollDiscovery.run();
        }
    }

    /**
     * Accepts a request. From now on the relay is responsible for it: a request that is not served gets exactly one
     * final answer.
     */
    public void accept(ClientSession client, ClientRequest request) {
        client.receive(request);
        if (shutdown.isComplete()) {
            requests.rejectUnregistered(client, shutdown.rejectionAfterDrain());
            return;
        }
        requests.register(client);
        if (request.isAdopted()) {
            attempts.adopt(client);
        } else {
            requests.scheduleAnswer(client);
            client.prepareAttempts(() -> requests.submit(client));
        }
    }

    /** Called when the client has disconnected or withdrawn its request. */
    public void onClientDisconnected(ClientSession client) {
        requests.disconnected(client);
    }

    /** Counts a rejection that a front sent by itself, for a request that it did not pass to {@link #accept}. */
    public void recordRejection(ClientRequest request, Rejection rejection) {
        metrics.requestNotServed(settings.className(request), rejection.kind());
    }

    /** Replaces all settings in one turn. Requests in flight keep their class. */
    public void applySettings(EffectiveSettings next) {
        settings.replace(next);
        metrics.classesOffered(next.offeredClasses());
        metrics.configApplied();
        balancer.enqueue(new SettingsChanged(settings.balancerSettings()));
    }

    /** Counts a reloaded configuration that was rejected; the settings in force stay. */
    public void onSettingsRejected() {
        metrics.configRejected();
    }

    /** Called when the number of processes that serve as this relay, this one included, has changed. */
    public void onProcessCount(int count) {
        balancer.enqueue(new ProcessCountChanged(count));
    }

    /** Called with the initial endpoint list, then with each update in the order in which discovery sent them. */
    public void onEndpointList(EndpointRegistry.Update update) {
        endpointListUpdater.applyFromDiscovery(update);
    }

    /** Called when the changes since the current list are requested from discovery. */
    public void onEndpointListRequested() {
        endpointListUpdater.onRequested();
    }

    /** Called with the complete list of another process of this relay, after each change there. */
    public void onSiblingEndpointList(EndpointRegistry.Update update) {
        endpointListUpdater.applyFromSibling(update);
    }

    /** Called when a poll or watch of discovery has failed; the load balancer decides when to poll again. */
    public void onEndpointListFailed(String reason) {
        endpointListUpdater.failed(reason);
    }

    /** Called with the complete list of tenants in the directory. */
    public void onTenants(List<TenantRegistry.Entry> listed) {
        if (tenants.replace(listed)) {
            LOG.info("tenants changed count=" + listed.size());
            balancer.enqueue(new TenantsChanged(tenants.forBalancer()));
        }
    }

    /**
     * Migrates all clients and answers all requests, then calls back, once. Requests that arrive after the callback are
     * rejected immediately.
     *
     * @param pendingPeers the number of accepted peers whose request has not arrived yet; the drain waits for them for
     *     a limited time, because no other process can read their sockets
     */
    public void drain(IntSupplier pendingPeers, Runnable whenDrained) {
        shutdown.begin(pendingPeers, whenDrained);
    }

    /** Whether {@link #drain} has been called; stays true once the drain is complete. */
    public boolean isDraining() {
        return shutdown.hasBegun();
    }

    /** When the process has to end after {@link #drain}, at the latest; 0 before. */
    public long exitDeadlineMicros() {
        return shutdown.exitDeadlineMicros();
    }

    /** The scheduler whose expired tasks each turn runs. */
    public DeadlineScheduler deadlines() {
        return deadlines;
    }

    /** The settings for newly arriving requests. */
    public EffectiveSettings effectiveSettings() {
        return settings.effectiveSettings();
    }

    /** The counters and gauges of this process, one {@code name=value} line each. */
    public List<String> metricLines() {
        long closedServers = endpoints.endpoints().stream()
                .filter(endpoint ->
                        balancer.isClosedToNewRequests(endpoint.entry().serverId()))
                .count();
        return metrics.lines(requests.clients().size(), endpoints.endpoints().size(), (int) closedServers);
    }

    /** The current endpoint list. */
    public EndpointRegistry endpoints() {
        return endpoints;
    }

    /** The tenants, those that are no longer listed included. */
    public TenantRegistry tenants() {
        return tenants;
    }

    /** A live view of the clients whose requests are queued, being attempted or established, in order of arrival. */
    public Collection<ClientSession> clients() {
        return requests.clients();
    }

    /** A live view of the number of requests rejected by the load balancer, by reason. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return metrics.rejectionCounts();
    }

    /** A live view of the number of ended attempts and connections, by outcome. */
    public Map<ConnectionOutcome, Long> outcomeCounts() {
        return metrics.outcomeCounts();
    }
}
