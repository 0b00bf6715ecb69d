package sandstack.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.ConnectionLimiter;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.RejectionReason;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
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
import sandstack.decisions.TrackedRequest.State;

/**
 * All decisions of one balancer instance. {@link BalancerEvent} and {@link BalancerAction} are its interface;
 * docs/design.md tells where the rules come from. Events go in through {@link #handle}, the actions to carry out come
 * back. There is no
 * I/O, clock, thread or shared state: the same settings, seed and events give the same actions.
 *
 * <p>Owns the requests from arrival to end and one of each part of the module: {@link EndpointTable} (membership),
 * {@link ServerHeadroom}, {@link ServerPicker}, {@link RetryBackoff}, {@link LoadShedder} and {@link
 * ConnectionMigration}. Called on one thread. An
 * event costs O(servers); once every half of the shortest deadline one costs O(servers and requests).
 */
public final class LoadBalancer {
    /** Part of the deadline that one attempt may use while others are left. */
    private static final double ATTEMPT_SLICE = 0.4;

    private final BalancerContext context;
    private BalancerSettings settings;
    private final EndpointTable endpoints;
    private final ServerHeadroom headroom;
    private final LoadShedder shedder;
    private final ServerPicker picker;
    private final ConnectionMigration migration;
    private final RetryBackoff retryBackoff;
    private final ConnectionLimiter connectionLimiter;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private long nextLook;

    /** Creates a module at {@code now}, in microseconds; the book states what is known of the servers. */
    public LoadBalancer(
            BalancerSettings initialSettings,
            StatedCapacities book,
            InstallationLimits limits,
            long seed,
            long nowMicros) {
        settings = initialSettings;
        context = new BalancerContext(initialSettings, book, limits, seed, nowMicros);
        endpoints = new EndpointTable(context);
        headroom = new ServerHeadroom(context);
        shedder = new LoadShedder(context, endpoints, headroom);
        picker = new ServerPicker(context, endpoints, headroom, shedder);
        migration = new ConnectionMigration(context, endpoints, headroom, shedder);
        retryBackoff = new RetryBackoff(context);
        connectionLimiter = new ConnectionLimiter(limits);
        nextLook = nowMicros;
    }

    /** Takes one event at its time; returns the actions to carry out, in order. */
    public List<BalancerAction> handle(BalancerEvent event, long nowMicros) {
        context.nowMicros = Math.max(context.nowMicros, nowMicros);
        context.actions = new ArrayList<>(2);
        if (context.nowMicros >= nextLook) {
            nextLook = context.nowMicros + context.ejectionUnitMicros;
            boolean jam = shedder.jammed();
            migration.look();
            shedder.look(requests.values(), jam);
        }
        if (event instanceof ConnectRequested e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof ConnectionEstablished e) {
            established(e);
        } else if (event instanceof LoadReported e) {
            loadChanged(e);
        } else if (event instanceof DelayReported e) {
            ServerState s = endpoints.get(e.serverId());
            if (s != null) {
                migration.delayTold(s, e.delayMicros());
            }
        } else if (event instanceof TimerExpired e) {
            timerDue(e);
        } else if (event instanceof ClientDisconnected e) {
            forget(requests.get(e.requestId()));
        } else if (event instanceof EndpointListUpdate e) {
            endpoints.onEndpointList(e);
        } else if (event instanceof ConnectionAdopted e) {
            adopted(e);
        } else if (event instanceof TenantsChanged e) {
            shedder.tenantsAre(e.tenants());
        } else if (event instanceof SettingsChanged e) {
            settings = e.settings();
            context.applySettings(settings);
            shedder.classesAre(settings.classes().size());
            picker.classesAre(settings.classes());
        } else if (event instanceof ProcessCountChanged e) {
            context.processCount = Math.max(1, e.count());
        }
        return context.actions;
    }

    /** Whether nothing new goes to this server now, but for a trial. */
    public boolean isEjected(String server) {
        ServerState s = endpoints.get(server);
        return s == null || !s.ready() || headroom.late(s);
    }

    private void arrived(ConnectRequested ask) {
        if (!settings.hasClass(ask.classIndex())) {
            context.actions.add(new Fail(ask.requestId()));
            return;
        }
        TrackedRequest r = new TrackedRequest(ask, settings);
        RejectionReason limit = connectionLimiter.reachedLimit(ask.group());
        enter(r);
        if (shedder.sheds(r)) {
            sendAway(r, RejectionReason.SHED);
            return;
        }
        if (limit != null) {
            refuse(r, limit);
            return;
        }
        RetryBackoff.RetryState b = retryBackoff.of(r.key);
        if (b != null && b.end > context.nowMicros) {
            // the client is back before its interval has ended: it keeps to what is left of it
            long due = context.nowMicros + (long) (context.uniform() * (b.end - context.nowMicros));
            if (due < lastStart(r)) {
                hold(r, due);
                return;
            }
        }
        place(r);
    }

    private void adopted(ConnectionAdopted e) {
        ConnectRequested ask = e.request();
        ServerState s = endpoints.know(e.serverId());
        if (!settings.hasClass(ask.classIndex())) {
            return;
        }
        TrackedRequest r = new TrackedRequest(ask, settings);
        r.attempts = 1;
        r.at = s;
        enter(r);
        open(r);
    }

    private void enter(TrackedRequest r) {
        requests.put(r.ask.requestId(), r);
        connectionLimiter.onArrived(r.ask.group());
    }

    private void open(TrackedRequest r) {
        r.state = State.OPEN;
        r.openedAt = context.nowMicros;
        headroom.stands(r, shedder.loadOf(r));
    }

    private void place(TrackedRequest r) {
        r.state = State.HELD;
        ServerState s = picker.choose(r);
        RejectionReason closed = picker.survey().rejectionReason(r.ask.classIndex());
        if (s != null) {
            send(r, s);
        } else if (closed != null) {
            // held back, it would come to the same servers again; the client hears at once when to come
            sendAway(r, closed);
        } else {
            backOff(r);
        }
    }

    private void send(TrackedRequest r, ServerState s) {
        long left = r.ask.deadlineMicros() - context.nowMicros;
        if (left <= 0 || !r.mayRepeat(context.nowMicros)) {
            // the window may have closed while the retry was held
            fail(r);
            return;
        }
        r.state = State.OUT;
        r.at = s;
        r.sentAt = context.nowMicros;
        r.attempts++;
        s.estimate.onAttemptStarted();
        s.gate.takeToken();
        s.cold.onSent(context.nowMicros);
        if (s.fails > 0) {
            s.trialOut = true;
        }
        boolean more = r.left(settings) > 0 && endpoints.home.length + endpoints.away.length > 1;
        long least = Math.max(3 * migration.setUp, 2 * settings.connectTimeoutMicros());
        long slice = Math.max((long) (left * ATTEMPT_SLICE), least);
        context.actions.add(new StartAttempt(r.ask.requestId(), s.id, more && slice < left ? slice : left));
    }

    private void hold(TrackedRequest r, long due) {
        r.state = State.HELD;
        context.scheduleTimer(r, due);
    }

    /** The last moment at which an attempt still makes sense. */
    private long lastStart(TrackedRequest r) {
        return r.ask.deadlineMicros() - Math.max(settings.connectTimeoutMicros(), context.slotMicros);
    }

    /**
     * A failed placement: n rises, the retry is drawn over the whole of the next interval of 2^n slots,
     * which starts where the current one ends, so that generations of retries never overlap.
     */
    private void backOff(TrackedRequest r) {
        long due = retryBackoff.draw(retryBackoff.raise(r.key));
        if (r.left(settings) <= 0 || due >= lastStart(r)) {
            refuse(r, r.left(settings) <= 0 ? RejectionReason.ATTEMPTS : RejectionReason.NO_TIME);
            return;
        }
        hold(r, due);
    }

    private void timerDue(TimerExpired e) {
        if (e.token() == EndpointTable.ASK_TIMER) {
            endpoints.askNow();
            return;
        }
        TrackedRequest r = context.takeExpired(e.token());
        if (r == null) {
            return;
        }
        if (r.state == State.OPEN) {
            migration.woken(r);
        } else if (r.state == State.HELD) {
            place(r);
        }
    }

    private void established(ConnectionEstablished e) {
        TrackedRequest r = requests.get(e.requestId());
        if (r == null || r.state != State.OUT) {
            return;
        }
        migration.setUp(e.setupMicros());
        r.at.estimate.onAttemptEnded();
        open(r);
        r.at.erredOn = null;
        r.erredAt.forEach(s -> s.mark(context));
        r.erredAt = List.of();
        if (r.at.fails > 0) {
            // a jammed server takes a connection and drops it soon after: the trial is passed by staying up
            context.scheduleTimer(r, context.nowMicros + context.ejectionUnitMicros);
        }
    }

    private void ended(AttemptEnded e) {
        TrackedRequest r = requests.get(e.requestId());
        if (r == null || r.at == null || e.attempt() != r.attempts - 1) {
            ServerState s = endpoints.get(e.serverId());
            if (s != null) {
                s.trialOut = false;
                s.estimate.onAttemptEnded();
                s.estimate.onInconclusiveAttempt();
            }
            return;
        }
        boolean stood = r.state == State.OPEN;
        r.at.trialOut = false;
        if (!stood) {
            r.at.estimate.onAttemptEnded();
            // some servers drop the newest connection where others turn the next away
            boolean dropped = e.outcome() == AttemptOutcome.RESET && r.at.estimate.establishedConnections() > 0;
            if (e.outcome() == AttemptOutcome.REJECTED || dropped) {
                r.at.estimate.onRejected(context.nowMicros, context.uniform());
            } else {
                r.at.estimate.onInconclusiveAttempt();
            }
        } else {
            retryBackoff.stayedUp(r);
            if (e.outcome() == AttemptOutcome.RESET) {
                // shed or lost: a failed placement, else clients of a full fleet come again without pause
                r.at.mark(context);
                headroom.left(r);
                if (r.at.ready()) {
                    r.at.estimate.onConnectionDropped(context.nowMicros, context.uniform());
                }
                retryBackoff.raise(r.key);
            }
        }
        if (e.requestFinished()) {
            if (!stood && e.outcome().failed()) {
                blame(r, e.outcome());
            }
            forget(r);
            return;
        }
        headroom.left(r);
        if (stood) {
            fail(r);
            return;
        }
        int timeOuts = e.outcome() == AttemptOutcome.TIMEOUT ? migration.timedOut(r, e.elapsedMicros()) : 0;
        // when attempts time out one after another, what they share is slow, not the servers: marks would
        // only empty the fleet, and short attempts would ask the shared store again and again
        if (e.outcome().failed() && timeOuts <= 2) {
            blame(r, e.outcome());
        }
        if (!e.outcome().notExecuted && r.mayHaveRunAt == null) {
            r.mayHaveRunAt = r.at;
            r.mayHaveRunSince = r.sentAt;
        }
        r.state = State.HELD;
        if (e.outcome() == AttemptOutcome.REJECTED && picker.survey().isScarce()) {
            sendAway(r, RejectionReason.FULL);
            return;
        }
        if (context.nowMicros >= r.ask.deadlineMicros() || !r.mayRepeat(context.nowMicros)) {
            fail(r);
            return;
        }
        backOff(r);
    }

    private void blame(TrackedRequest r, AttemptOutcome o) {
        if (o == AttemptOutcome.ERROR) {
            r.at.erred(r, context);
        } else if (o != AttemptOutcome.REJECTED) {
            r.at.mark(context);
        }
    }

    private void loadChanged(LoadReported e) {
        TrackedRequest r = requests.get(e.requestId());
        if (r != null && r.state == State.OPEN) {
            double load = CapacityEstimate.sanitizeLoad(e.load());
            headroom.loadTold(r, load);
            shedder.loadTold(r, load);
        }
    }

    /** Refused at once, as a failed placement whose next interval the client spends away. */
    private void sendAway(TrackedRequest r, RejectionReason cause) {
        retryBackoff.raise(r.key);
        refuse(r, cause);
    }

    /** The final answer: refused with the rest of the interval where that is allowed, else failed. */
    private void refuse(TrackedRequest r, RejectionReason cause) {
        if (!r.mayBeRefused()) {
            fail(r);
            return;
        }
        // told even where the settings do not promise that clients heed it: those that do stay away
        long rest = Math.min(retryBackoff.rest(r.key), settings.maxRetryAfterMicros());
        context.actions.add(new Reject(r.ask.requestId(), rest, cause));
        forget(r);
    }

    private void fail(TrackedRequest r) {
        context.actions.add(new Fail(r.ask.requestId()));
        forget(r);
    }

    private void forget(TrackedRequest r) {
        if (r == null) {
            return;
        }
        headroom.left(r);
        if (requests.remove(r.ask.requestId()) != null) {
            connectionLimiter.onFinished(r.ask.group());
        }
        context.cancelTimer(r);
        r.state = State.HELD;
    }
}
