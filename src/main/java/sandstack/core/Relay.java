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

    private EffectiveSettings terms;
    private BalancerSettings settings;
    private final Figures figures = new Figures();
    private final LongSupplier clock;
    private final LoadBalancer brain;
    private final Deadlines deadlines = new Deadlines();
    private final NameTable names = new NameTable();
    private final Tenants tenants = new Tenants();
    private final Map<String, ServiceClient> clients = new LinkedHashMap<>();
    private final Map<ConnectionOutcome, Long> endings = new EnumMap<>(ConnectionOutcome.class);
    private final Map<RejectionReason, Long> refusals = new EnumMap<>(RejectionReason.class);
    private final Runnable watch;
    private final Actions handler = new Actions();
    /** Causes for which discovery could not be asked since it last told something; each has had its line. */
    private final Set<String> failedBy = new HashSet<>();

    private List<BalancerEvent> ready = new ArrayList<>();
    private long lastId;
    private final Draining draining;

    /**
     * Creates a relay without statements of an operator and without limits; classes are named by their numbers.
     *
     * @param clock microseconds that never go back
     * @param watch asks discovery for changes; answered by {@link #listed} or {@link #listFailed}
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
        this.brain = new LoadBalancer(settings, book, limits, seed, clock.getAsLong());
        this.draining = new Draining(this, new SplittableRandom(seed));
    }

    private void use(EffectiveSettings next) {
        terms = next;
        settings = next.settings();
        figures.offered(next.offered());
    }

    /** Other terms count from now on, in one turn: what was read is swapped in whole. Commands under way keep theirs. */
    public void termsAre(EffectiveSettings next) {
        use(next);
        figures.configApplied();
        ready.add(new SettingsChanged(settings));
    }

    /** A new configuration was turned down. */
    public void termsRejected() {
        figures.configRejected();
    }

    /** So many processes are this relay together now. */
    public void processes(int count) {
        ready.add(new ProcessCountChanged(count));
    }

    // ---- the turn ---------------------------------------------------------------------------------

    /** One turn of the loop. */
    public void turn() {
        long now = now();
        deadlines.sweep(now);
        while (!ready.isEmpty()) {
            List<BalancerEvent> gathered = ready;
            ready = new ArrayList<>();
            List<BalancerAction> actions = new ArrayList<>();
            for (BalancerEvent event : gathered) {
                actions.addAll(brain.handle(event, now));
            }
            actions.forEach(action -> action.dispatch(handler));
        }
        draining.turn(now);
    }

    /** When the next turn is due, if nothing happens before; in the past where it is due now. */
    public long nextTurn() {
        return ready.isEmpty() ? deadlines.next() : Long.MIN_VALUE;
    }

    /** Carries out what the module decides. */
    private final class Actions implements BalancerAction.Handler<RuntimeException> {
        @Override
        public void startAttempt(StartAttempt action) {
            Relay.this.attempt(action);
        }

        @Override
        public void setTimer(SetTimer action) {
            deadlines.at(now() + action.delayMicros(), () -> ready.add(new TimerExpired(action.token())));
        }

        @Override
        public void reject(Reject action) {
            refusals.merge(action.reason(), 1L, Long::sum);
            answer(clients.get(action.requestId()), Refusal.refused(action.retryAfterMicros(), action.reason()));
        }

        @Override
        public void fail(Fail action) {
            answer(clients.get(action.requestId()), Refusal.FAILED);
        }

        @Override
        public void migrate(Migrate action) {
            ServiceClient client = clients.get(action.requestId());
            if (client != null && client.execution != null) {
                client.execution.move(ConnectionOutcome.MOVED);
            }
        }

        @Override
        public void watchEndpointList(WatchEndpointList action) {
            watch.run();
        }
    }

    private void attempt(StartAttempt a) {
        ServiceClient client = clients.get(a.requestId());
        if (client != null) {
            client.look();
        }
        if (client == null || client.finished) {
            // the client has left; without this the module would count the attempt as out for good
            ready.add(new AttemptEnded(
                    a.requestId(), 0, a.serverId(), ConnectionOutcome.NEVER_SENT.outcome(), true, 0, null));
            return;
        }
        long left = client.deadline - now();
        NameTable.Line line = names.get(a.serverId());
        if (client.execution != null || line == null || left <= 0 || executionsLeft(client) <= 0) {
            ready.add(new AttemptEnded(
                    a.requestId(),
                    client.executions,
                    a.serverId(),
                    ConnectionOutcome.NEVER_SENT.outcome(),
                    false,
                    0,
                    null));
            client.executions++;
            return;
        }
        begin(client, line, a.timeoutMicros() <= 0 ? left : Math.min(left, a.timeoutMicros()));
    }

    private int executionsLeft(ServiceClient client) {
        return Math.min(client.mostExecutions, settings.maxAttempts()) - client.executions;
    }

    private void begin(ServiceClient client, NameTable.Line line, long patience) {
        Execution execution = new Execution(this, client, line, client.executions++, patience);
        client.execution = execution;
        LOG.fine(() -> "execution " + client.id + "/" + execution.number() + " of " + client.command.key() + " class "
                + client.command.requestClass() + " group " + client.command.group() + " begins at "
                + line.entry().serverId() + (client.command.standingAt() == null ? "" : ", where it stood"));
        execution.start();
    }

    // ---- what fronts report -----------------------------------------------------------------------

    /** Takes a command: from now on exactly one final answer is owed for it. */
    public void take(ServiceClient client, ClientRequest command) {
        client.command = command;
        if (draining.finished()) {
            client.finished = true;
            Refusal later = draining.refusalOfLateCommand();
            turnedBack(command, later);
            client.nack(later);
            return;
        }
        // the client's own id may be one that another connection still uses; the module's never is
        client.id = Long.toString(++lastId);
        client.mostExecutions = settings.maxAttempts();
        long headroom = Math.min(HEADROOM, command.patience() / 8);
        client.deadline = now() + command.patience() - headroom;
        clients.put(client.id, client);
        if (command.standingAt() == null) {
            client.overdue = deadlines.at(client.deadline + headroom / 2, () -> overdue(client));
            ready.add(asRequest(client));
        } else {
            adopt(client);
        }
    }

    private ConnectRequested asRequest(ServiceClient client) {
        ClientRequest c = client.command;
        return new ConnectRequested(
                client.id,
                c.requestClass(),
                c.tenant(),
                c.key(),
                c.group(),
                client.deadline,
                c.load(),
                false,
                c.returning());
    }

    /** A connection that stood before the relay started goes back to its own feed server and to no other. */
    private void adopt(ServiceClient client) {
        if (client.finished || client.execution != null) {
            return;
        }
        NameTable.Line line = names.get(client.command.standingAt());
        long left = client.deadline - now();
        if (line == null || left <= 0 || executionsLeft(client) <= 0) {
            answer(client, Refusal.FAILED);
            return;
        }
        begin(client, line, left);
    }

    /** The client's side has ended, or it asked for nothing any more. */
    public void clientLeft(ServiceClient client) {
        if (client.finished || client.id == null) {
            return;
        }
        boolean stood = client.execution != null && client.execution.standing();
        finish(client);
        if (!stood && client.command.standingAt() == null) {
            ready.add(new ClientDisconnected(client.id));
        }
        if (client.execution != null) {
            client.execution.giveUp(ConnectionOutcome.CLIENT_LEFT);
        }
    }

    /** Whether this execution's feed server wants nothing new any more; what stood there before the start still may. */
    boolean takesNoMore(Execution execution) {
        NameTable.Line line = names.get(execution.server().entry().serverId());
        return execution.client().command.standingAt() == null
                && (line == null || line.entry().state() != EndpointState.READY);
    }

    /** The request's last byte is on its way to the feed server. */
    void written(Execution execution) {
        figures.tried(className(execution.client().command));
    }

    /** A front has answered this command by itself: the relay has not taken it, or its client broke its word. */
    public void turnedBack(ClientRequest command, Refusal nack) {
        figures.answered(className(command), nack.kind());
    }

    private String className(ClientRequest command) {
        return terms.classes().get(command.requestClass());
    }

    void established(Execution execution) {
        ServiceClient client = execution.client();
        if (client.overdue != null) {
            client.overdue.cancel();
        }
        figures.up(className(client.command));
        LOG.fine(() -> "execution " + client.id + "/" + execution.number() + " stands at "
                + execution.server().entry().serverId() + " after " + (now() - execution.began()) + " us");
        if (client.command.standingAt() != null) {
            ready.add(new ConnectionAdopted(
                    asRequest(client), execution.server().entry().serverId()));
        } else {
            ready.add(new ConnectionEstablished(
                    client.id, execution.number(), execution.server().entry().serverId(), now() - execution.began()));
        }
        if (draining.begun()) {
            draining.move(client);
        }
    }

    void ended(Execution execution, ConnectionOutcome ending, boolean stood) {
        ServiceClient client = execution.client();
        client.execution = null;
        endings.merge(ending, 1L, Long::sum);
        LOG.fine(() -> "execution " + client.id + "/" + execution.number() + " at "
                + execution.server().entry().serverId() + " ended: " + ending);
        if (client.command.standingAt() != null && !stood) {
            // the module has not heard of it yet
            if (!client.finished) {
                deadlines.at(now() + ADOPT_PAUSE, () -> adopt(client));
            }
            return;
        }
        if (ending == ConnectionOutcome.SENT_AWAY) {
            leaves(execution.server());
        }
        boolean over = stood || client.finished;
        ready.add(new AttemptEnded(
                client.id,
                moduleNumber(execution),
                execution.server().entry().serverId(),
                ending.outcome(),
                over,
                now() - execution.began(),
                null));
        if (stood) {
            finish(client);
        }
    }

    void loadTold(Execution execution, double load) {
        LOG.finer(() -> "execution " + execution.client().id + "/" + execution.number() + " loads "
                + execution.server().entry().serverId() + " by " + load);
        ready.add(new LoadReported(
                execution.client().id,
                moduleNumber(execution),
                execution.server().entry().serverId(),
                load));
    }

    void delayTold(Execution execution, double delay) {
        String server = execution.server().entry().serverId();
        LOG.fine(() -> "lines at " + server + " take " + Math.round(delay) + " us, as it tells");
        ready.add(new DelayReported(execution.client().id, moduleNumber(execution), server, delay));
    }

    private static int moduleNumber(Execution execution) {
        return execution.client().command.standingAt() != null ? 0 : execution.number();
    }

    private void overdue(ServiceClient client) {
        if (client.finished || (client.execution != null && client.execution.standing())) {
            return;
        }
        LOG.warning("command " + client.id + " was overdue; failed without the module's word");
        failUnanswered(client);
    }

    /** Answers a command as failed without asking the module, which hears that its client has gone. */
    void failUnanswered(ServiceClient client) {
        ready.add(new ClientDisconnected(client.id));
        answer(client, Refusal.FAILED);
    }

    private void answer(ServiceClient client, Refusal nack) {
        if (client == null || client.finished) {
            return;
        }
        finish(client);
        if (client.execution != null) {
            client.execution.giveUp(ConnectionOutcome.CLIENT_LEFT);
        }
        LOG.fine(() -> "command " + client.id + " of " + client.command.key() + " was answered " + nack.kind() + " "
                + (nack.cause() == null ? "" : nack.cause() + " ") + nack.comeBackMillis() + " after "
                + client.executions + " executions");
        figures.answered(className(client.command), nack.kind());
        client.nack(nack);
    }

    private void finish(ServiceClient client) {
        client.finished = true;
        clients.remove(client.id);
        if (client.overdue != null) {
            client.overdue.cancel();
        }
    }

    // ---- discovery --------------------------------------------------------------------------------

    /** News of the name table, in the order in which discovery told it. */
    public void listed(NameTable.News news) {
        names.apply(news);
        failedBy.clear();
        ready.add(new EndpointListUpdate(news.kind(), news.entries()));
        for (NameTable.Line line : news.lines()) {
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
    private void leaves(NameTable.Line line) {
        EndpointEntry e = line.entry();
        if (names.get(e.serverId()) != line || e.state() != EndpointState.READY) {
            return;
        }
        NameTable.Line leaving = line.in(EndpointState.DRAINING);
        listed(new NameTable.News(EndpointListKind.DELTA, names.version(), List.of(leaving)));
        deadlines.at(now() + SENT_AWAY_COUNTS, () -> {
            if (names.get(e.serverId()) == leaving) {
                listed(new NameTable.News(EndpointListKind.DELTA, names.version(), List.of(line)));
            }
        });
    }

    /** The ask or the watch has failed; the module decides when to ask again. */
    public void listFailed(String why) {
        // an agent that is away is asked many times a second: one line a cause until it tells again
        if (failedBy.add(why)) {
            LOG.info("discovery: " + why);
        }
        ready.add(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
    }

    /** The tenants as their directory has them now. */
    public void tenantsListed(List<Tenants.Entry> listed) {
        if (tenants.replace(listed)) {
            LOG.info("tenants: " + listed.size() + " listed");
            ready.add(new TenantsChanged(tenants.forModule()));
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
        draining.begin(unheardPeers, whenDrained);
    }

    /** Whether this relay is being taken out of service. */
    public boolean draining() {
        return draining.begun();
    }

    // ---- what others may see ----------------------------------------------------------------------

    long now() {
        return clock.getAsLong();
    }

    /** The deadlines that each turn sweeps. */
    public Deadlines deadlines() {
        return deadlines;
    }

    long longestDeadline() {
        return settings.longestDeadlineMicros();
    }

    long connectTimeout() {
        return settings.connectTimeoutMicros() > 0 ? settings.connectTimeoutMicros() : Long.MAX_VALUE / 4;
    }

    /** What counts for the commands that come now. */
    public EffectiveSettings terms() {
        return terms;
    }

    /** What this process has counted and holds now, a line each. */
    public List<String> figures() {
        long ejected = names.lines().stream()
                .filter(line -> brain.isEjected(line.entry().serverId()))
                .count();
        return figures.lines(clients.size(), names.lines().size(), (int) ejected);
    }

    /** The feed servers as discovery listed them. */
    public NameTable names() {
        return names;
    }

    /** The tenants by name. */
    public Tenants tenants() {
        return tenants;
    }

    /** The clients whose commands are held, out or standing. */
    public Collection<ServiceClient> clients() {
        return clients.values();
    }

    /** How many commands were refused for which cause. */
    public Map<RejectionReason, Long> refusals() {
        return refusals;
    }

    /** How many executions have ended in which way. */
    public Map<ConnectionOutcome, Long> endings() {
        return endings;
    }
}
