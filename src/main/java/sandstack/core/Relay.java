package sandstack.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import sandstack.decisions.BalancerEvent;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.decisions.BalancerEvent.TenantsChanged;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.LoadBalancer;

/**
 * The relay without its wires. Fronts report what they see; each turn sweeps the deadlines, hands all that is
 * ready to the module in one go and carries out what comes back. One thread does all of it.
 */
public final class Relay {
    /** A standing connection whose client's words go unanswered for so long is moved. */
    static final long SILENCE = 4_500_000;
    /**
     * The client's time runs from when it sent its line, and an answer counts only if it has arrived: the relay
     * ends what it waits for so much before, or an eighth of the time where that is less.
     */
    private static final long HEADROOM = 60_000;
    /** A feed server that sent a client away counts as draining for so long, unless discovery tells of it. */
    private static final long SENT_AWAY_COUNTS = 10_000_000;

    private static final long ADOPT_PAUSE = 250_000;
    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private EffectiveSettings effectiveSettings;
    private BalancerSettings settings;
    private final RelayMetrics metricLines = new RelayMetrics();
    private final LongSupplier clock;
    private final LoadBalancer loadBalancer;
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final TenantRegistry tenants = new TenantRegistry();
    private final Map<String, ClientSession> clients = new LinkedHashMap<>();
    private final Map<ConnectionOutcome, Long> outcomeCounts = new EnumMap<>(ConnectionOutcome.class);
    private final Map<RejectionReason, Long> rejectionCounts = new EnumMap<>(RejectionReason.class);
    private final Runnable watch;
    private final Actions handler = new Actions();
    /** Causes for which discovery could not be asked since it last told something; each has had its line. */
    private final Set<String> failedBy = new HashSet<>();

    private List<BalancerEvent> pendingEvents = new ArrayList<>();
    private long lastId;
    private final GracefulShutdown isDraining;

    /**
     * Creates a relay without statements of an operator and without limits; classes are named by their numbers.
     *
     * @param clock microseconds that never go back
     * @param watch asks discovery for changes; answered by {@link #onEndpointList} or {@link #onEndpointListFailed}
     */
    public Relay(BalancerSettings settings, long seed, LongSupplier clock, Runnable watch) {
        this(EffectiveSettings.numbered(settings), StatedCapacities.NONE, InstallationLimits.NONE, seed, clock, watch);
    }

    /**
     * Creates a relay that knows no feed servers yet.
     *
     * @param book what an operator knows of the feed servers
     * @param limits what the installation allows
     */
    public Relay(
            EffectiveSettings terms,
            StatedCapacities book,
            InstallationLimits limits,
            long seed,
            LongSupplier clock,
            Runnable watch) {
        use(terms);
        this.clock = clock;
        this.watch = watch;
        this.loadBalancer = new LoadBalancer(settings, book, limits, seed, clock.getAsLong());
        this.isDraining = new GracefulShutdown(this, new SplittableRandom(seed));
    }

    private void use(EffectiveSettings next) {
        effectiveSettings = next;
        settings = next.settings();
        metricLines.offered(next.offeredClasses());
    }

    /** Other terms count from now on, in one turn: what was read is swapped in whole. Commands under way keep theirs. */
    public void applySettings(EffectiveSettings next) {
        use(next);
        metricLines.configApplied();
        pendingEvents.add(new SettingsChanged(settings));
    }

    /** A new configuration was turned down. */
    public void onSettingsRejected() {
        metricLines.configRejected();
    }

    /** So many processes are this relay together now. */
    public void onProcessCount(int count) {
        pendingEvents.add(new ProcessCountChanged(count));
    }

    // ---- the turn ---------------------------------------------------------------------------------

    /** One turn of the loop. */
    public void runTurn() {
        long now = now();
        deadlines.runExpired(now);
        while (!pendingEvents.isEmpty()) {
            List<BalancerEvent> gathered = pendingEvents;
            pendingEvents = new ArrayList<>();
            List<BalancerAction> actions = new ArrayList<>();
            for (BalancerEvent event : gathered) {
                actions.addAll(loadBalancer.handle(event, now));
            }
            actions.forEach(action -> action.dispatch(handler));
        }
        isDraining.turn(now);
    }

    /** When the next turn is due, if nothing happens before; in the past where it is due now. */
    public long nextTurnMicros() {
        return pendingEvents.isEmpty() ? deadlines.nextMicros() : Long.MIN_VALUE;
    }

    /** Carries out what the module decides. */
    private final class Actions implements BalancerAction.Handler<RuntimeException> {
        @Override
        public void startAttempt(StartAttempt action) {
            Relay.this.attempt(action);
        }

        @Override
        public void setTimer(SetTimer action) {
            deadlines.schedule(now() + action.delayMicros(), () -> pendingEvents.add(new TimerExpired(action.token())));
        }

        @Override
        public void reject(Reject action) {
            rejectionCounts.merge(action.reason(), 1L, Long::sum);
            answer(clients.get(action.requestId()), Rejection.rejected(action.retryAfterMicros(), action.reason()));
        }

        @Override
        public void fail(Fail action) {
            answer(clients.get(action.requestId()), Rejection.FAILED);
        }

        @Override
        public void migrate(Migrate action) {
            ClientSession client = clients.get(action.requestId());
            if (client != null && client.attempt != null) {
                client.attempt.migrate(ConnectionOutcome.MIGRATED);
            }
        }

        @Override
        public void watchEndpointList(WatchEndpointList action) {
            watch.run();
        }
    }

    private void attempt(StartAttempt a) {
        ClientSession client = clients.get(a.requestId());
        if (client != null) {
            client.checkConnected();
        }
        if (client == null || client.finished) {
            // the client has left; without this the module would count the attempt as out for good
            pendingEvents.add(new AttemptEnded(
                    a.requestId(), 0, a.serverId(), ConnectionOutcome.NOT_SENT.outcome(), true, 0, null));
            return;
        }
        long left = client.deadlineMicros - now();
        EndpointRegistry.Endpoint line = endpoints.get(a.serverId());
        if (client.attempt != null || line == null || left <= 0 || executionsLeft(client) <= 0) {
            pendingEvents.add(new AttemptEnded(
                    a.requestId(),
                    client.attemptCount,
                    a.serverId(),
                    ConnectionOutcome.NOT_SENT.outcome(),
                    false,
                    0,
                    null));
            client.attemptCount++;
            return;
        }
        begin(client, line, a.timeoutMicros() <= 0 ? left : Math.min(left, a.timeoutMicros()));
    }

    private int executionsLeft(ClientSession client) {
        return Math.min(client.maxAttempts, settings.maxAttempts()) - client.attemptCount;
    }

    private void begin(ClientSession client, EndpointRegistry.Endpoint line, long patience) {
        ConnectionAttempt execution = new ConnectionAttempt(this, client, line, client.attemptCount++, patience);
        client.attempt = execution;
        LOG.fine(() ->
                "execution " + client.id + "/" + execution.number() + " of " + client.request.clientKey() + " class "
                        + client.request.classIndex() + " group " + client.request.group() + " begins at "
                        + line.entry().serverId() + (client.request.adoptedFrom() == null ? "" : ", where it stood"));
        execution.start();
    }

    // ---- what fronts report -----------------------------------------------------------------------

    /** Takes a command: from now on exactly one final answer is owed for it. */
    public void accept(ClientSession client, ClientRequest command) {
        client.request = command;
        if (isDraining.finished()) {
            client.finished = true;
            Rejection later = isDraining.refusalOfLateCommand();
            recordRejection(command, later);
            client.sendRejection(later);
            return;
        }
        // the client's own id may be one that another connection still uses; the module's never is
        client.id = Long.toString(++lastId);
        client.maxAttempts = settings.maxAttempts();
        long headroom = Math.min(HEADROOM, command.timeoutMicros() / 8);
        client.deadlineMicros = now() + command.timeoutMicros() - headroom;
        clients.put(client.id, client);
        if (command.adoptedFrom() == null) {
            client.answerTimer = deadlines.schedule(client.deadlineMicros + headroom / 2, () -> overdue(client));
            pendingEvents.add(asRequest(client));
        } else {
            adopt(client);
        }
    }

    private ConnectRequested asRequest(ClientSession client) {
        ClientRequest c = client.request;
        return new ConnectRequested(
                client.id,
                c.classIndex(),
                c.tenantIndex(),
                c.clientKey(),
                c.group(),
                client.deadlineMicros,
                c.expectedLoad(),
                false,
                c.reconnecting());
    }

    /** A connection that stood before the relay started goes back to its own feed server and to no other. */
    private void adopt(ClientSession client) {
        if (client.finished || client.attempt != null) {
            return;
        }
        EndpointRegistry.Endpoint line = endpoints.get(client.request.adoptedFrom());
        long left = client.deadlineMicros - now();
        if (line == null || left <= 0 || executionsLeft(client) <= 0) {
            answer(client, Rejection.FAILED);
            return;
        }
        begin(client, line, left);
    }

    /** The client's side has ended, or it asked for nothing any more. */
    public void onClientDisconnected(ClientSession client) {
        if (client.finished || client.id == null) {
            return;
        }
        boolean stood = client.attempt != null && client.attempt.isEstablished();
        finish(client);
        if (!stood && client.request.adoptedFrom() == null) {
            pendingEvents.add(new ClientDisconnected(client.id));
        }
        if (client.attempt != null) {
            client.attempt.giveUp(ConnectionOutcome.CLIENT_LEFT);
        }
    }

    /** Whether this execution's feed server wants nothing new any more; what stood there before the start still may. */
    boolean isServerDraining(ConnectionAttempt execution) {
        EndpointRegistry.Endpoint line =
                endpoints.get(execution.endpoint().entry().serverId());
        return execution.client().request.adoptedFrom() == null
                && (line == null || line.entry().state() != EndpointState.READY);
    }

    /** The request's last byte is on its way to the feed server. */
    void written(ConnectionAttempt execution) {
        metricLines.tried(className(execution.client().request));
    }

    /** A front has answered this command by itself: the relay has not taken it, or its client broke its word. */
    public void recordRejection(ClientRequest command, Rejection nack) {
        metricLines.answered(className(command), nack.kind());
    }

    private String className(ClientRequest command) {
        return effectiveSettings.classNames().get(command.classIndex());
    }

    void established(ConnectionAttempt execution) {
        ClientSession client = execution.client();
        if (client.answerTimer != null) {
            client.answerTimer.cancel();
        }
        metricLines.up(className(client.request));
        LOG.fine(() -> "execution " + client.id + "/" + execution.number() + " stands at "
                + execution.endpoint().entry().serverId() + " after " + (now() - execution.startedAtMicros()) + " us");
        if (client.request.adoptedFrom() != null) {
            pendingEvents.add(new ConnectionAdopted(
                    asRequest(client), execution.endpoint().entry().serverId()));
        } else {
            pendingEvents.add(new ConnectionEstablished(
                    client.id,
                    execution.number(),
                    execution.endpoint().entry().serverId(),
                    now() - execution.startedAtMicros()));
        }
        if (isDraining.begun()) {
            isDraining.move(client);
        }
    }

    void ended(ConnectionAttempt execution, ConnectionOutcome ending, boolean stood) {
        ClientSession client = execution.client();
        client.attempt = null;
        outcomeCounts.merge(ending, 1L, Long::sum);
        LOG.fine(() -> "execution " + client.id + "/" + execution.number() + " at "
                + execution.endpoint().entry().serverId() + " ended: " + ending);
        if (client.request.adoptedFrom() != null && !stood) {
            // the module has not heard of it yet
            if (!client.finished) {
                deadlines.schedule(now() + ADOPT_PAUSE, () -> adopt(client));
            }
            return;
        }
        if (ending == ConnectionOutcome.SERVER_DRAINING) {
            leaves(execution.endpoint());
        }
        boolean over = stood || client.finished;
        pendingEvents.add(new AttemptEnded(
                client.id,
                moduleNumber(execution),
                execution.endpoint().entry().serverId(),
                ending.outcome(),
                over,
                now() - execution.startedAtMicros(),
                null));
        if (stood) {
            finish(client);
        }
    }

    void loadTold(ConnectionAttempt execution, double load) {
        LOG.finer(() -> "execution " + execution.client().id + "/" + execution.number() + " loads "
                + execution.endpoint().entry().serverId() + " by " + load);
        pendingEvents.add(new LoadReported(
                execution.client().id,
                moduleNumber(execution),
                execution.endpoint().entry().serverId(),
                load));
    }

    void delayTold(ConnectionAttempt execution, double delay) {
        String server = execution.endpoint().entry().serverId();
        LOG.fine(() -> "lines at " + server + " take " + Math.round(delay) + " us, as it tells");
        pendingEvents.add(new DelayReported(execution.client().id, moduleNumber(execution), server, delay));
    }

    private static int moduleNumber(ConnectionAttempt execution) {
        return execution.client().request.adoptedFrom() != null ? 0 : execution.number();
    }

    private void overdue(ClientSession client) {
        if (client.finished || (client.attempt != null && client.attempt.isEstablished())) {
            return;
        }
        LOG.warning("command " + client.id + " was overdue; failed without the module's word");
        failUnanswered(client);
    }

    /** Answers a command as failed without asking the module, which hears that its client has gone. */
    void failUnanswered(ClientSession client) {
        pendingEvents.add(new ClientDisconnected(client.id));
        answer(client, Rejection.FAILED);
    }

    private void answer(ClientSession client, Rejection nack) {
        if (client == null || client.finished) {
            return;
        }
        finish(client);
        if (client.attempt != null) {
            client.attempt.giveUp(ConnectionOutcome.CLIENT_LEFT);
        }
        LOG.fine(() ->
                "command " + client.id + " of " + client.request.clientKey() + " was answered " + nack.kind() + " "
                        + (nack.reason() == null ? "" : nack.reason() + " ") + nack.retryAfterMillis() + " after "
                        + client.attemptCount + " executions");
        metricLines.answered(className(client.request), nack.kind());
        client.sendRejection(nack);
    }

    private void finish(ClientSession client) {
        client.finished = true;
        clients.remove(client.id);
        if (client.answerTimer != null) {
            client.answerTimer.cancel();
        }
    }

    // ---- discovery --------------------------------------------------------------------------------

    /** News of the name table, in the order in which discovery told it. */
    public void onEndpointList(EndpointRegistry.Update news) {
        endpoints.apply(news);
        failedBy.clear();
        pendingEvents.add(new EndpointListUpdate(news.kind(), news.entries()));
        for (EndpointRegistry.Endpoint line : news.endpoints()) {
            LOG.fine(() -> "name table " + news.kind() + " " + news.version() + ": " + line);
            if (news.kind() == EndpointListKind.DELTA) {
                LOG.info("name table: " + line.entry().serverId() + " is "
                        + line.entry().state());
            }
        }
    }

    /**
     * A feed server that sends its clients away drains, and discovery tells so only seconds later: until then
     * those who came back were placed there again, to be sent away once more.
     */
    private void leaves(EndpointRegistry.Endpoint line) {
        EndpointEntry e = line.entry();
        if (endpoints.get(e.serverId()) != line || e.state() != EndpointState.READY) {
            return;
        }
        EndpointRegistry.Endpoint leaving = line.withState(EndpointState.DRAINING);
        onEndpointList(new EndpointRegistry.Update(EndpointListKind.DELTA, endpoints.version(), List.of(leaving)));
        deadlines.schedule(now() + SENT_AWAY_COUNTS, () -> {
            if (endpoints.get(e.serverId()) == leaving) {
                onEndpointList(new EndpointRegistry.Update(EndpointListKind.DELTA, endpoints.version(), List.of(line)));
            }
        });
    }

    /** The ask or the watch has failed; the module decides when to ask again. */
    public void onEndpointListFailed(String why) {
        // an agent that is away is asked many times a second: one line a cause until it tells again
        if (failedBy.add(why)) {
            LOG.info("discovery: " + why);
        }
        pendingEvents.add(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
    }

    /** The tenants as their directory has them now. */
    public void onTenants(List<TenantRegistry.Entry> listed) {
        if (tenants.replace(listed)) {
            LOG.info("tenants: " + listed.size() + " listed");
            pendingEvents.add(new TenantsChanged(tenants.forBalancer()));
        }
    }

    // ---- draining ---------------------------------------------------------------------------------

    /**
     * Moves all clients away and answers all commands; then calls back, once. Whoever asks after that is refused at once.
     *
     * @param unheardPeers how many have been accepted whose command has not come yet: they are waited for, as
     *     nobody else can hear them out
     */
    public void drain(IntSupplier unheardPeers, Runnable whenDrained) {
        isDraining.begin(unheardPeers, whenDrained);
    }

    /** Whether this relay is being taken out of service. */
    public boolean isDraining() {
        return isDraining.begun();
    }

    // ---- what others may see ----------------------------------------------------------------------

    long now() {
        return clock.getAsLong();
    }

    /** The deadlines that each turn sweeps. */
    public DeadlineScheduler deadlines() {
        return deadlines;
    }

    long longestDeadline() {
        return settings.longestDeadlineMicros();
    }

    long connectTimeout() {
        return settings.connectTimeoutMicros() > 0 ? settings.connectTimeoutMicros() : Long.MAX_VALUE / 4;
    }

    /** What counts for the commands that come now. */
    public EffectiveSettings effectiveSettings() {
        return effectiveSettings;
    }

    /** What this process has counted and holds now, a line each. */
    public List<String> metricLines() {
        long ejected = endpoints.endpoints().stream()
                .filter(line -> loadBalancer.isEjected(line.entry().serverId()))
                .count();
        return metricLines.lines(clients.size(), endpoints.endpoints().size(), (int) ejected);
    }

    /** The feed servers as discovery listed them. */
    public EndpointRegistry endpoints() {
        return endpoints;
    }

    /** The tenants by name. */
    public TenantRegistry tenants() {
        return tenants;
    }

    /** The clients whose commands are held, out or standing. */
    public Collection<ClientSession> clients() {
        return clients.values();
    }

    /** How many commands were refused for which cause. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejectionCounts;
    }

    /** How many executions have ended in which way. */
    public Map<ConnectionOutcome, Long> outcomeCounts() {
        return outcomeCounts;
    }
}
