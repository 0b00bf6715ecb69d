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
 * The relay without sockets, as the fronts, the watch on discovery and the operators use it. Fronts report what they
 * see; each turn runs the expired deadlines, hands the gathered events to the load balancer and carries out its
 * actions.
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
    private final Runnable watch;

    /**
     * Creates a relay without statements of an operator and without limits; classes are named by their numbers.
     *
     * @param clock microseconds that never go back
     * @param watch polls discovery for changes; answered by {@link #onEndpointList} or {@link #onEndpointListFailed}
     */
    public Relay(BalancerSettings settings, long seed, LongSupplier clock, Runnable watch) {
        this(EffectiveSettings.numbered(settings), StatedCapacities.NONE, InstallationLimits.NONE, seed, clock, watch);
    }

    /**
     * Creates a relay that knows no feed servers yet.
     *
     * @param statedCapacities what an operator knows of the feed servers
     * @param limits what the installation allows
     */
    public Relay(
            EffectiveSettings effectiveSettings,
            StatedCapacities statedCapacities,
            InstallationLimits limits,
            long seed,
            LongSupplier clock,
            Runnable watch) {
        this.clock = clock;
        this.watch = watch;
        settings = new ActiveSettings(effectiveSettings);
        metrics.classesOffered(effectiveSettings.offeredClasses());
        LoadBalancer loadBalancer =
                new LoadBalancer(settings.balancerSettings(), statedCapacities, limits, seed, clock.getAsLong());
        balancer = new BalancerDriver(loadBalancer, new ActionHandler());
        requests = new RequestRegistry(clock, deadlines, settings, balancer, metrics);
        endpointListUpdater = new EndpointListUpdater(clock, deadlines, endpoints, balancer);
        shutdown = new GracefulShutdown(clock, deadlines, settings, requests, new SplittableRandom(seed));
        attempts = new AttemptCoordinator(
                clock, deadlines, settings, balancer, metrics, requests, endpointListUpdater, shutdown);
    }

    // ---- the turn ---------------------------------------------------------------------------------

    /** One turn of the event loop. */
    public void runTurn() {
        long now = clock.getAsLong();
        deadlines.runExpired(now);
        balancer.processEvents(now);
        shutdown.runTurn(now);
    }

    /** When the next turn is due if nothing happens before; in the past where it is due now. */
    public long nextTurnMicros() {
        return balancer.hasEvents() ? Long.MIN_VALUE : deadlines.nextMicros();
    }

    /** Passes each action of the load balancer to the part that carries it out. */
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
            watch.run();
        }
    }

    // ---- what fronts report -----------------------------------------------------------------------

    /** Accepts a request: from now on exactly one final answer is owed for it. */
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
            requests.submit(client);
        }
    }

    /** The client's side has ended, or it withdrew its request. */
    public void onClientDisconnected(ClientSession client) {
        requests.disconnected(client);
    }

    /** A front has answered this request by itself: the relay has not accepted it, or it was malformed. */
    public void recordRejection(ClientRequest request, Rejection rejection) {
        metrics.requestRejected(settings.className(request), rejection.kind());
    }

    // ---- configuration, endpoints and tenants -----------------------------------------------------

    /** Other settings count from now on, swapped in complete in one turn. Requests in flight keep their class. */
    public void applySettings(EffectiveSettings next) {
        settings.replace(next);
        metrics.classesOffered(next.offeredClasses());
        metrics.configApplied();
        balancer.enqueue(new SettingsChanged(settings.balancerSettings()));
    }

    /** A new configuration was rejected. */
    public void onSettingsRejected() {
        metrics.configRejected();
    }

    /** So many processes serve as this relay together now. */
    public void onProcessCount(int count) {
        balancer.enqueue(new ProcessCountChanged(count));
    }

    /** An update of the endpoint list, in the order in which discovery sent it. */
    public void onEndpointList(EndpointRegistry.Update update) {
        endpointListUpdater.apply(update);
    }

    /** The poll or the watch has failed; the load balancer decides when to poll again. */
    public void onEndpointListFailed(String reason) {
        endpointListUpdater.failed(reason);
    }

    /** The tenants as their directory has them now. */
    public void onTenants(List<TenantRegistry.Entry> listed) {
        if (tenants.replace(listed)) {
            LOG.info("tenants changed count=" + listed.size());
            balancer.enqueue(new TenantsChanged(tenants.forBalancer()));
        }
    }

    // ---- graceful shutdown ------------------------------------------------------------------------

    /**
     * Migrates all clients and answers all requests; then calls back, once. Requests that come after that are rejected
     * at once.
     *
     * @param unheardPeers how many peers have been accepted whose request has not come yet: they are waited for, as no
     *     other process can read what they send
     */
    public void drain(IntSupplier unheardPeers, Runnable whenDrained) {
        shutdown.begin(unheardPeers, whenDrained);
    }

    /** Whether this relay is being taken out of service. */
    public boolean isDraining() {
        return shutdown.hasBegun();
    }

    // ---- what other packages read -----------------------------------------------------------------

    /** The deadlines that each turn runs. */
    public DeadlineScheduler deadlines() {
        return deadlines;
    }

    /** The settings that apply to the requests that come now. */
    public EffectiveSettings effectiveSettings() {
        return settings.effectiveSettings();
    }

    /** What this process has counted and has in flight now, a line each. */
    public List<String> metricLines() {
        long ejected = endpoints.endpoints().stream()
                .filter(endpoint -> balancer.isEjected(endpoint.entry().serverId()))
                .count();
        return metrics.lines(requests.clients().size(), endpoints.endpoints().size(), (int) ejected);
    }

    /** The feed servers as discovery listed them. */
    public EndpointRegistry endpoints() {
        return endpoints;
    }

    /** The tenants by name. */
    public TenantRegistry tenants() {
        return tenants;
    }

    /** The clients whose requests are queued, being attempted or established. */
    public Collection<ClientSession> clients() {
        return requests.clients();
    }

    /** How many requests were rejected for each reason. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return metrics.rejectionCounts();
    }

    /** How many attempts and connections have ended in each way. */
    public Map<ConnectionOutcome, Long> outcomeCounts() {
        return metrics.outcomeCounts();
    }
}
