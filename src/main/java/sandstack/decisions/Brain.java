package sandstack.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.Cause;
import sandstack.capacity.Counted;
import sandstack.capacity.Estimate;
import sandstack.capacity.Limits;
import sandstack.capacity.Stated;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Adopted;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ClientGone;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.DelayReported;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.Event;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.LoadChanged;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Processes;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.ServerList;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.SettingsChanged;
import sandstack.decisions.Decisions.TenantsChanged;
import sandstack.decisions.Decisions.TimerDue;
import sandstack.decisions.Request.State;

/**
 * All decisions of one balancer instance. Its interface is in Decisions.java; docs/design.md tells where
 * the rules come from. Events go in through {@link #on}, the actions to carry out come back. There is no
 * I/O, clock, thread or shared state: the same settings, seed and events give the same actions.
 *
 * <p>Owns the requests from arrival to end and one of each part of the module: {@link Fleet} (membership),
 * {@link Room}, {@link Draw}, {@link BackOffs}, {@link Shedding} and {@link Moves}. Called on one thread. An
 * event costs O(servers); once every half of the shortest deadline one costs O(servers and requests).
 */
public final class Brain {
    /** Part of the deadline that one attempt may use while others are left. */
    private static final double ATTEMPT_SLICE = 0.4;

    private final Frame f;
    private Settings set;
    private final Fleet fleet;
    private final Room room;
    private final Shedding shedding;
    private final Draw draw;
    private final Moves moves;
    private final BackOffs backOffs;
    private final Counted counted;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private long nextLook;

    /** Creates a module at {@code now}, in microseconds; the book states what is known of the servers. */
    public Brain(Settings settings, Stated.Book book, Limits limits, long seed, long now) {
        set = settings;
        f = new Frame(settings, book, limits, seed, now);
        fleet = new Fleet(f);
        room = new Room(f);
        shedding = new Shedding(f, fleet, room);
        draw = new Draw(f, fleet, room, shedding);
        moves = new Moves(f, fleet, room, shedding);
        backOffs = new BackOffs(f);
        counted = new Counted(limits);
        nextLook = now;
    }

    /** Takes one event at its time; returns the actions to carry out, in order. */
    public List<Action> on(Event event, long time) {
        f.now = Math.max(f.now, time);
        f.out = new ArrayList<>(2);
        if (f.now >= nextLook) {
            nextLook = f.now + f.markSlot;
            boolean jam = shedding.jammed();
            moves.look();
            shedding.look(requests.values(), jam);
        }
        if (event instanceof ConnectRequest e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof Established e) {
            established(e);
        } else if (event instanceof LoadChanged e) {
            loadChanged(e);
        } else if (event instanceof DelayReported e) {
            Server s = fleet.get(e.server());
            if (s != null) {
                moves.delayTold(s, e.delay());
            }
        } else if (event instanceof TimerDue e) {
            timerDue(e);
        } else if (event instanceof ClientGone e) {
            forget(requests.get(e.id()));
        } else if (event instanceof ServerList e) {
            fleet.listed(e);
        } else if (event instanceof Adopted e) {
            adopted(e);
        } else if (event instanceof TenantsChanged e) {
            shedding.tenantsAre(e.tenants());
        } else if (event instanceof SettingsChanged e) {
            set = e.settings();
            f.use(set);
            shedding.classesAre(set.classes().size());
            draw.classesAre(set.classes());
        } else if (event instanceof Processes e) {
            f.processes = Math.max(1, e.count());
        }
        return f.out;
    }

    /** Whether nothing new goes to this server now, but for a trial. */
    public boolean avoids(String server) {
        Server s = fleet.get(server);
        return s == null || !s.ready() || room.late(s);
    }

    private void arrived(ConnectRequest ask) {
        if (!set.knows(ask.requestClass())) {
            f.out.add(new Fail(ask.id()));
            return;
        }
        Request r = new Request(ask, set);
        Cause limit = counted.over(ask.group());
        enter(r);
        if (shedding.sheds(r)) {
            sendAway(r, Cause.SHED);
            return;
        }
        if (limit != null) {
            refuse(r, limit);
            return;
        }
        BackOffs.BackOff b = backOffs.of(r.key);
        if (b != null && b.end > f.now) {
            // the client is back before its interval has ended: it keeps to what is left of it
            long due = f.now + (long) (f.uniform() * (b.end - f.now));
            if (due < lastStart(r)) {
                hold(r, due);
                return;
            }
        }
        place(r);
    }

    private void adopted(Adopted e) {
        ConnectRequest ask = e.request();
        Server s = fleet.know(e.server());
        if (!set.knows(ask.requestClass())) {
            return;
        }
        Request r = new Request(ask, set);
        r.attempts = 1;
        r.at = s;
        enter(r);
        open(r);
    }

    private void enter(Request r) {
        requests.put(r.ask.id(), r);
        counted.entered(r.ask.group());
    }

    private void open(Request r) {
        r.state = State.OPEN;
        r.openedAt = f.now;
        room.stands(r, shedding.loadOf(r));
    }

    private void place(Request r) {
        r.state = State.HELD;
        Server s = draw.choose(r);
        Cause closed = draw.survey().closed(r.ask.requestClass());
        if (s != null) {
            send(r, s);
        } else if (closed != null) {
            // held back, it would come to the same servers again; the client hears at once when to come
            sendAway(r, closed);
        } else {
            backOff(r);
        }
    }

    private void send(Request r, Server s) {
        long left = r.ask.deadline() - f.now;
        if (left <= 0 || !r.mayRepeat(f.now)) {
            // the window may have closed while the retry was held
            fail(r);
            return;
        }
        r.state = State.OUT;
        r.at = s;
        r.sentAt = f.now;
        r.attempts++;
        s.estimate.sent();
        s.gate.through();
        s.cold.spend(f.now);
        if (s.fails > 0) {
            s.trialOut = true;
        }
        boolean more = r.left(set) > 0 && fleet.home.length + fleet.away.length > 1;
        long least = Math.max(3 * moves.setUp, 2 * set.connectTimeout());
        long slice = Math.max((long) (left * ATTEMPT_SLICE), least);
        f.out.add(new Attempt(r.ask.id(), s.id, more && slice < left ? slice : left));
    }

    private void hold(Request r, long due) {
        r.state = State.HELD;
        f.wake(r, due);
    }

    /** The last moment at which an attempt still makes sense. */
    private long lastStart(Request r) {
        return r.ask.deadline() - Math.max(set.connectTimeout(), f.slot);
    }

    /**
     * A failed placement: n rises, the retry is drawn over the whole of the next interval of 2^n slots,
     * which starts where the current one ends, so that generations of retries never overlap.
     */
    private void backOff(Request r) {
        long due = backOffs.draw(backOffs.raise(r.key));
        if (r.left(set) <= 0 || due >= lastStart(r)) {
            refuse(r, r.left(set) <= 0 ? Cause.ATTEMPTS : Cause.NO_TIME);
            return;
        }
        hold(r, due);
    }

    private void timerDue(TimerDue e) {
        if (e.token() == Fleet.ASK_TIMER) {
            fleet.askNow();
            return;
        }
        Request r = f.woken(e.token());
        if (r == null) {
            return;
        }
        if (r.state == State.OPEN) {
            moves.woken(r);
        } else if (r.state == State.HELD) {
            place(r);
        }
    }

    private void established(Established e) {
        Request r = requests.get(e.id());
        if (r == null || r.state != State.OUT) {
            return;
        }
        moves.setUp(e.took());
        r.at.estimate.back();
        open(r);
        r.at.erredOn = null;
        r.erredAt.forEach(s -> s.mark(f));
        r.erredAt = List.of();
        if (r.at.fails > 0) {
            // a jammed server takes a connection and drops it soon after: the trial is passed by staying up
            f.wake(r, f.now + f.markSlot);
        }
    }

    private void ended(AttemptEnded e) {
        Request r = requests.get(e.id());
        if (r == null || r.at == null || e.attempt() != r.attempts - 1) {
            Server s = fleet.get(e.server());
            if (s != null) {
                s.trialOut = false;
                s.estimate.back();
                s.estimate.moot();
            }
            return;
        }
        boolean stood = r.state == State.OPEN;
        r.at.trialOut = false;
        if (!stood) {
            r.at.estimate.back();
            // some servers drop the newest connection where others turn the next away
            boolean dropped = e.outcome() == Outcome.RESET && r.at.estimate.standing() > 0;
            if (e.outcome() == Outcome.FULL || dropped) {
                r.at.estimate.turnedAway(f.now, f.uniform());
            } else {
                r.at.estimate.moot();
            }
        } else {
            backOffs.stayedUp(r);
            if (e.outcome() == Outcome.RESET) {
                // shed or lost: a failed placement, else clients of a full fleet come again without pause
                r.at.mark(f);
                room.left(r);
                if (r.at.ready()) {
                    r.at.estimate.shed(f.now, f.uniform());
                }
                backOffs.raise(r.key);
            }
        }
        if (e.requestOver()) {
            if (!stood && e.outcome().failed()) {
                blame(r, e.outcome());
            }
            forget(r);
            return;
        }
        room.left(r);
        if (stood) {
            fail(r);
            return;
        }
        int timeOuts = e.outcome() == Outcome.TIMEOUT ? moves.timedOut(r, e.took()) : 0;
        // when attempts time out one after another, what they share is slow, not the servers: marks would
        // only empty the fleet, and short attempts would ask the shared store again and again
        if (e.outcome().failed() && timeOuts <= 2) {
            blame(r, e.outcome());
        }
        if (!e.outcome().neverRan && r.mayHaveRunAt == null) {
            r.mayHaveRunAt = r.at;
            r.mayHaveRunSince = r.sentAt;
        }
        r.state = State.HELD;
        if (e.outcome() == Outcome.FULL && draw.survey().scarce()) {
            sendAway(r, Cause.FULL);
            return;
        }
        if (f.now >= r.ask.deadline() || !r.mayRepeat(f.now)) {
            fail(r);
            return;
        }
        backOff(r);
    }

    private void blame(Request r, Outcome o) {
        if (o == Outcome.ERROR) {
            r.at.erred(r, f);
        } else if (o != Outcome.FULL) {
            r.at.mark(f);
        }
    }

    private void loadChanged(LoadChanged e) {
        Request r = requests.get(e.id());
        if (r != null && r.state == State.OPEN) {
            double load = Estimate.sane(e.load());
            room.loadTold(r, load);
            shedding.loadTold(r, load);
        }
    }

    /** Refused at once, as a failed placement whose next interval the client spends away. */
    private void sendAway(Request r, Cause cause) {
        backOffs.raise(r.key);
        refuse(r, cause);
    }

    /** The final answer: refused with the rest of the interval where that is allowed, else failed. */
    private void refuse(Request r, Cause cause) {
        if (!r.mayBeRefused()) {
            fail(r);
            return;
        }
        // told even where the settings do not promise that clients heed it: those that do stay away
        long rest = Math.min(backOffs.rest(r.key), set.maxRetryAfter());
        f.out.add(new Refuse(r.ask.id(), rest, cause));
        forget(r);
    }

    private void fail(Request r) {
        f.out.add(new Fail(r.ask.id()));
        forget(r);
    }

    private void forget(Request r) {
        if (r == null) {
            return;
        }
        room.left(r);
        if (requests.remove(r.ask.id()) != null) {
            counted.left(r.ask.group());
        }
        f.letSleep(r);
        r.state = State.HELD;
    }
}
