package sandstack.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.decisions.Decisions.*;

/**
 * All decisions of one balancer instance. Its interface is in Decisions.java; docs/design.md tells where
 * the rules come from. Events go in through {@link #on}, the actions to carry out come back. There is no
 * I/O, clock, thread or shared state: the same settings, seed and events give the same actions.
 */
public final class Brain {
    /** A first interval spans two slots; so many slots fit into the tightest set-up aim. */
    private static final int SLOTS_IN_AIM = 16;
    /** Interval n spans 2^n slots; n stops growing here, when one interval outlasts the usual deadlines. */
    private static final int MAX_N = 8;
    /** Connections on a server that leaves move within an interval of this n. */
    private static final int LEAVE_N = 6;
    private static final int MAX_MARK = 3;
    /** Part of the deadline that one attempt may use while others are left. */
    private static final double ATTEMPT_SLICE = 0.4;
    /** Share of the result that probes may cost. */
    private static final double PROBE_BUDGET = 0.01;
    private static final int MAX_PROBES = 4;
    /** Home zone kept while this part of its usual weight is usable. */
    private static final double SPILL_BELOW = 0.5;
    /** Part of what would push a cold server over that all balancers together may send it. */
    private static final double COLD_MARGIN = 0.5;
    /** Part of that budget which the balancers of its own zone may spend. */
    private static final double COLD_HOME_SHARE = 0.75;
    /** Load is shed while more than this part of the servers known here are late or marked. */
    private static final double JAMMED = 0.5;
    private static final double SHED_STEP = 0.2;
    private static final double SHED_MOST = 0.9;
    /** What a server that holds some of the group weighs more in the draw for one of its connections. */
    private static final double HOLDER_WEIGHT = 8;
    /** Home has room for what stands elsewhere while its sampled servers are loaded less than this. */
    private static final double ROOMY_RATIO = 0.5;
    /** Home also keeps everything while this part of its servers, or less, is late. */
    private static final double SPILL_LATE = 0.1;
    /** Work a second that a standard core does. */
    private static final double CORE = 1e6;
    /** What a connection is taken for before its load is told, and with how many such the mean begins. */
    private static final double GUESS = CORE / 15;
    private static final int GUESSED = 8;
    /** What a server pays for a group, in mean connections. */
    private static final double GROUP_LOAD = 3;
    /** Used so far, a server takes less than others, next to nothing, and nothing at all. */
    private static final double USE_SOME = 0.25;
    private static final double USE_FULL = 0.4;
    private static final double USE_LATE = 0.8;
    private static final double USE_WEIGHT = 3;
    /** Home keeps everything while it is used by no more than this above others; at twice that, nothing. */
    private static final double USE_GAP = 0.15;
    /** Used so far, its connections move as those of a slow one do. */
    private static final double USE_OVER = 1.0;
    private static final int MAX_KEYS = 4096;
    private static final long ASK_TIMER = -1;

    private enum State { HELD, PROBING, OUT, OPEN }

    /** What this instance knows of one server. */
    private static final class Server {
        final String id;
        final long hash;
        int zone;
        int cell;
        double rating = 1;
        long startedAt;
        Phase phase = Phase.GONE;
        long leavingSince;
        // health mark
        int fails;
        long markedUntil;
        boolean trialOut;
        /** What it last gave an error to, until it has served something. */
        String erredOn;
        // evidence of room
        double delay;
        long delayAt = Long.MIN_VALUE / 2;
        double ratio = -1;
        long ratioAt = Long.MIN_VALUE / 2;
        int sentSinceRatio;
        double heldLoad;
        // cold budget
        double tokens;
        long tokensAt;
        // relocation interval
        int moveN;
        long moveStart;
        long moveEnd;
        final Map<String, Request> held = new LinkedHashMap<>();
        final Map<String, Integer> groups = new LinkedHashMap<>();

        Server(String id) {
            this.id = id;
            this.hash = hash(id);
        }
    }

    /** One client connection, from its arrival to its end. */
    private static final class Request {
        final ConnectRequest ask;
        final RequestClass cls;
        final String key;
        State state = State.HELD;
        int attempts;
        Server at;
        double load;
        /** What it is taken for while it stands: its load, or a guess until that is told. */
        double weight;
        boolean probed;
        int probesOut;
        long wake;
        long openedAt;
        double moveDraw = -1;
        /** Servers that gave it an error; an empty list where none did. */
        List<Server> erredAt = List.of();
        // keyed and unsafe classes: the first attempt that may have run
        Server mayHaveRunAt;
        long mayHaveRunSince;
        long sentAt;

        Request(ConnectRequest ask, RequestClass cls) {
            this.ask = ask;
            this.cls = cls;
            this.key = ask.clientKey() == null ? ask.id() : ask.clientKey();
            this.load = ask.load();
        }
    }

    /** Retry state of one client key: retry number and the current interval. */
    private static final class BackOff {
        int n;
        long end;
    }

    private final Settings set;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<Long, Request> wakes = new LinkedHashMap<>();
    private final Map<String, BackOff> backOffs = new LinkedHashMap<>();
    private final Map<String, List<Request>> probers = new LinkedHashMap<>();
    private Server[] home = new Server[0];
    private Server[] away = new Server[0];
    private double homeWeight;
    private List<Action> out = new ArrayList<>();
    private final long slot;
    private final long markSlot;
    private final long shortestAim;
    private final double tightMessage;
    private final int probeCount;
    private final long started;
    private final double[] classLoad;
    private final double[] classHeld;
    private final double[] classShed;
    private List<Tenant> tenants;
    private double[] tenantExcess;
    private double shed;
    private double lateHome;
    private double lateAway;
    private double homeRatio = -1;
    private double meanLoad;
    private double openWeight;
    private int openCount;
    private boolean delaysTold;
    private double meanRating = 1;
    private long nextLook;
    private long arrivals;
    private long random;
    private long lastToken;
    private int timeOuts;
    private long setUp;
    private int askFails;
    private boolean asking;
    private long now;

    public Brain(Settings settings, long seed, long now) {
        this.set = settings;
        this.random = mix(seed);
        this.started = now;
        this.now = now;
        long aim = Long.MAX_VALUE;
        long deadline = Long.MAX_VALUE;
        double message = Double.MAX_VALUE;
        for (RequestClass c : settings.classes()) {
            aim = Math.min(aim, c.aim());
            deadline = Math.min(deadline, c.deadline());
            message = c.messageAim() > 0 ? Math.min(message, c.messageAim()) : message;
        }
        classLoad = new double[settings.classes().size()];
        classHeld = new double[classLoad.length];
        classShed = new double[classLoad.length];
        tenants = settings.tenants();
        tenantExcess = new double[tenants.size()];
        nextLook = now;
        shortestAim = aim;
        slot = Math.max(1, aim / SLOTS_IN_AIM);
        markSlot = Math.max(1, deadline / 2);
        tightMessage = message;
        probeCount = !settings.probes() || settings.loadRatioColumn() < 0 ? 0
                : (int) Math.min(MAX_PROBES, PROBE_BUDGET / Math.max(settings.probePrice(), 1e-9));
    }

    /** Takes one event at its time; returns the actions to carry out, in order. */
    public List<Action> on(Event event, long time) {
        now = Math.max(now, time);
        out = new ArrayList<>(2);
        if (now >= nextLook) {
            nextLook = now + markSlot;
            look();
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
            delayReported(e);
        } else if (event instanceof TimerDue e) {
            timerDue(e);
        } else if (event instanceof ProbeEnded e) {
            probeEnded(e);
        } else if (event instanceof ClientGone e) {
            forget(requests.get(e.id()));
        } else if (event instanceof ServerList e) {
            listed(e);
        } else if (event instanceof Adopted e) {
            adopted(e);
        } else if (event instanceof TenantsChanged e) {
            tenants = List.copyOf(e.tenants());
            tenantExcess = Arrays.copyOf(tenantExcess, tenants.size());
        }
        return out;
    }

    // ---- membership -------------------------------------------------------------------------------

    private void listed(ServerList list) {
        if (list.kind() == ListKind.FAILED) {
            asking = false;
            askFails++;
            askLater();
            return;
        }
        if (list.kind() != ListKind.CHANGES) {
            Map<String, Boolean> named = new LinkedHashMap<>();
            for (ServerEntry e : list.entries()) {
                named.put(e.server(), true);
            }
            for (Server s : servers.values()) {
                if (!named.containsKey(s.id)) {
                    leave(s, Phase.GONE);
                }
            }
        }
        for (ServerEntry e : list.entries()) {
            Server s = servers.computeIfAbsent(e.server(), Server::new);
            s.zone = e.zone();
            s.cell = e.cell();
            s.rating = e.rating() > 0 ? e.rating() : 1;
            if (e.startedAt() != s.startedAt) {
                // a fresh process: what was known of the old one says nothing, and it is cold
                s.startedAt = e.startedAt();
                s.fails = 0;
                s.markedUntil = 0;
                s.ratio = -1;
                s.delay = 0;
                s.tokens = uniform();
                s.tokensAt = now;
            }
            if (e.phase() == Phase.READY) {
                s.phase = Phase.READY;
            } else {
                leave(s, e.phase());
            }
        }
        servers.values().removeIf(s -> s.phase == Phase.GONE && s.held.isEmpty() && !s.trialOut
                && now - s.leavingSince > set.drainGrace());
        rebuild();
        if (list.kind() == ListKind.SAVED) {
            if (set.listOnRequest()) {
                askLater();
            }
        } else {
            askFails = 0;
        }
    }

    private void leave(Server s, Phase phase) {
        if (s.phase == Phase.READY) {
            s.leavingSince = now;
            // it may not send its connections away by itself: each draws a moment of its own to move
            for (Request r : s.held.values()) {
                wake(r, now + 1 + (long) (uniform() * (slot << LEAVE_N)));
            }
        }
        s.phase = phase;
    }

    private void rebuild() {
        List<Server> near = new ArrayList<>();
        List<Server> far = new ArrayList<>();
        homeWeight = 0;
        for (Server s : servers.values()) {
            if (s.phase == Phase.GONE) {
                continue;
            }
            if (s.zone == set.homeZone()) {
                near.add(s);
                homeWeight += s.phase == Phase.READY ? s.rating : 0;
            } else {
                far.add(s);
            }
        }
        meanRating = near.isEmpty() || homeWeight <= 0 ? 1 : homeWeight / near.size();
        home = near.toArray(new Server[0]);
        away = far.toArray(new Server[0]);
    }

    /** Asks for changes; a failed ask is repeated under the same back-off, in the time the rules allow. */
    private void askLater() {
        if (asking) {
            return;
        }
        asking = true;
        if (askFails == 0) {
            out.add(new WatchServers());
            asking = false;
            return;
        }
        long span = Math.min(set.askWithin() / 2, (set.askWithin() / 64) << Math.min(askFails, 5));
        out.add(new SetTimer((long) (uniform() * span) + 1, ASK_TIMER));
    }

    // ---- health marks -----------------------------------------------------------------------------

    private void mark(Server s) {
        s.fails = Math.min(s.fails + 1, MAX_MARK);
        s.markedUntil = now + (markSlot << s.fails >> 1);
    }

    /**
     * An error may be the request's own fault: some err wherever they go, and marks for that emptied the
     * fleet. The server is at fault once it errs on another group too, or once another serves the request.
     */
    private void erred(Request r) {
        String what = r.ask.group() != null ? r.ask.group() : r.key;
        if (r.at.erredOn != null && !r.at.erredOn.equals(what)) {
            mark(r.at);
        }
        r.at.erredOn = what;
        r.erredAt = new ArrayList<>(r.erredAt);
        r.erredAt.add(r.at);
    }

    private void clear(Server s) {
        s.fails = 0;
        s.markedUntil = 0;
        s.trialOut = false;
    }

    /** A mark that has run out ends by one trial, not by a crowd. */
    private boolean unmarked(Server s) {
        return s.fails == 0 || (now >= s.markedUntil && !s.trialOut);
    }

    private double warmth(Server s) {
        if (s.startedAt == 0 || set.warmAfter() == 0) {
            return 1;
        }
        double part = (now - s.startedAt) / (double) set.warmAfter();
        return part >= 1 ? 1 : set.coldFrom() + (1 - set.coldFrom()) * Math.max(0, part);
    }

    // ---- draw -------------------------------------------------------------------------------------

    private boolean allowed(Request r, Server s) {
        if (s.phase != Phase.READY) {
            return false;
        }
        if (r.erredAt.contains(s)) {
            return false;
        }
        Server ran = r.mayHaveRunAt;
        if (ran == null || r.cls.repeat() == Repeat.SAFE) {
            return true;
        }
        return switch (r.cls.scope()) {
            case ALL -> true;
            case ZONE -> ran.zone == s.zone;
            case CELL -> ran.zone == s.zone && ran.cell == s.cell;
        };
    }

    /** Part of a server's weight left by the evidence; 0 while its messages take too long. */
    private double room(Server s) {
        if (now - s.delayAt > markSlot * 2 || s.delay * 3 <= tightMessage) {
            double use = use(s);
            return use >= USE_LATE ? 0 : use >= USE_FULL ? 0.05 : use >= USE_SOME ? 0.3 : 1;
        }
        return s.delay >= tightMessage ? 0 : 0.3;
    }

    /**
     * How much of a server the connections placed from here use, as far as their loads are told: an estimate
     * from below, as others may have placed some there too. A unit of rating is taken for a standard core.
     */
    private double use(Server s) {
        if (delaysTold) {
            return 0;
        }
        double groups = set.sharedGroups() ? s.groups.size() * GROUP_LOAD * meanWeight() : 0;
        return (s.heldLoad + groups) / (s.rating * warmth(s) * CORE);
    }

    /** The mean load of what stands here; a few connections are not yet enough to know it by. */
    private double meanWeight() {
        return (openWeight + GUESSED * GUESS) / (openCount + GUESSED);
    }

    private double guess(Request r) {
        double load = loadOf(r);
        return load > 0 ? load : meanWeight();
    }

    private boolean budgetFor(Server s) {
        double warmth = warmth(s);
        if (warmth >= 1) {
            return true;
        }
        // fresh arrivals only: in a storm of returning clients the rate of attempts says nothing of capacity
        double elapsed = Math.max(now - started, set.tipAfter());
        boolean near = s.zone == set.homeZone();
        double perServer = near ? COLD_HOME_SHARE / home.length : (1 - COLD_HOME_SHARE) / away.length;
        double rate = arrivals / elapsed * perServer * set.tipMultiple() * COLD_MARGIN * warmth;
        s.tokens = Math.min(1.5, s.tokens + rate * (now - s.tokensAt));
        s.tokensAt = now;
        return s.tokens >= 1;
    }

    private long seedOf(Request r) {
        if (r.ask.group() != null) {
            return hash(r.ask.group());
        }
        return set.passThrough() ? hash(r.key) : next();
    }

    /** The server for this request: highest random weight, home zone first. Null where none can take it. */
    private Server choose(Request r) {
        long seed = seedOf(r);
        if (r.ask.midFlow() && r.attempts == 0) {
            Server holder = holder(r, seed);
            if (holder != null) {
                return holder;
            }
        }
        double usable = 0;
        for (Server s : home) {
            usable += s.phase == Phase.READY && unmarked(s) ? s.rating * warmth(s) : 0;
        }
        Server best = null;
        // spilled: what the zone has lost of its usual weight beyond the threshold, and a part as large as
        // the share of its servers that are late, unless those elsewhere are late too
        double keep = homeWeight <= 0 ? 0 : usable / (homeWeight * SPILL_BELOW);
        keep = Math.min(keep, 1 - Math.max(0, lateHome - SPILL_LATE) * (1 - lateAway));
        // and what the least used elsewhere is used less than the least used at home
        keep = Math.min(keep, 1 - (leastUse(home) - leastUse(away) - USE_GAP) / USE_GAP);
        if (keep >= 1 || uniform() < keep) {
            best = draw(r, home, seed);
        }
        if (best == null) {
            best = draw(r, away, seed);
        }
        return best;
    }

    private double leastUse(Server[] among) {
        double least = 1;
        for (Server s : among) {
            least = s.phase == Phase.READY && unmarked(s) ? Math.min(least, use(s)) : least;
        }
        return least;
    }

    private Server draw(Request r, Server[] among, long seed) {
        Server best = null;
        double top = Double.NEGATIVE_INFINITY;
        for (Server s : among) {
            if (!allowed(r, s) || !unmarked(s)) {
                continue;
            }
            // no fallback to servers whose messages are late: what is added there serves nobody, and where
            // all are late, holding and refusing is what lets them recover
            double room = room(s);
            if (room <= 0) {
                continue;
            }
            double score = Math.log(unit(mix(seed ^ s.hash))) / (s.rating * warmth(s));
            if (r.ask.group() != null) {
                // where the group already stands it is paid for: before any other server
                score /= room * (s.groups.containsKey(r.ask.group()) ? HOLDER_WEIGHT : 1);
                score *= 1 + USE_WEIGHT * use(s);
            } else {
                // its own load here counts in mean connections: two heavy ones of one balancer part ways
                double held = meanLoad > 0 ? s.heldLoad / meanLoad : s.held.size();
                score = score / room * (1 + held / s.rating * meanRating);
                if (fresh(s)) {
                    score = -s.ratio - 0.02 * s.sentSinceRatio;
                } else if (probeCount > 0) {
                    score -= 10;
                }
            }
            if (score > top && budgetFor(s)) {
                top = score;
                best = s;
            }
        }
        return best;
    }

    private boolean fresh(Server s) {
        return s.ratio >= 0 && now - s.ratioAt < shortestAim * 10;
    }

    /** Where a connection that arrives mid-flow stands: the draw on facts that all balancers share. */
    private Server holder(Request r, long seed) {
        Server best = null;
        double top = Double.NEGATIVE_INFINITY;
        for (Server s : home) {
            boolean reachable = s.phase == Phase.READY || now - s.leavingSince < set.drainGrace() / 2;
            if (!reachable || s.fails > 0) {
                continue;
            }
            double score = Math.log(unit(mix(seed ^ s.hash))) / s.rating;
            if (score > top) {
                top = score;
                best = s;
            }
        }
        return best;
    }

    // ---- admission --------------------------------------------------------------------------------

    private void arrived(ConnectRequest ask) {
        if (ask.requestClass() < 0 || ask.requestClass() >= set.classes().size()) {
            out.add(new Fail(ask.id()));
            return;
        }
        Request r = new Request(ask, set.classes().get(ask.requestClass()));
        requests.put(ask.id(), r);
        meanLoad += ask.load() <= 0 ? 0 : (ask.load() - meanLoad) * (meanLoad == 0 ? 1 : 0.05);
        arrivals += ask.returning() || ask.midFlow() ? 0 : 1;
        if (!ask.midFlow() && shedding(r)) {
            raise(r.key);
            answer(r, true);
            return;
        }
        BackOff b = backOffs.get(r.key);
        if (b != null && b.end > now && !ask.midFlow()) {
            // the client is back before its interval has ended: it keeps to what is left of it
            long due = now + (long) (uniform() * (b.end - now));
            if (due < lastStart(r)) {
                hold(r, due);
                return;
            }
        }
        place(r);
    }

    /**
     * A mark that has run out says nothing any more, though no trial has come to clear it: counted on, it
     * kept a balancer shedding after the trouble had passed.
     */
    private boolean marked(Server s) {
        return s.fails > 0 && now < s.markedUntil;
    }

    /** Late by nothing but what stands there from here. */
    private boolean fullHere(Server s) {
        return use(s) >= USE_LATE && !marked(s);
    }

    private boolean late(Server s) {
        return marked(s) || room(s) <= 0;
    }

    /**
     * Where most servers are late, placing and moving cannot help: all lose together. A part of the load is
     * refused then, least worth for its load first, more each look until the jam is gone.
     */
    private void look() {
        int known = 0;
        int hot = 0;
        int full = 0;
        int knownAway = 0;
        int hotAway = 0;
        int fullAway = 0;
        int readyAway = 0;
        for (Server s : away) {
            boolean late = late(s);
            readyAway += s.phase == Phase.READY ? 1 : 0;
            if (s.phase == Phase.READY && (late || !s.held.isEmpty())) {
                knownAway++;
                hotAway += late ? 1 : 0;
                fullAway += fullHere(s) ? 1 : 0;
            }
        }
        for (Server s : home) {
            boolean late = late(s);
            if (s.phase == Phase.READY && (late || !s.held.isEmpty())) {
                known++;
                hot += late ? 1 : 0;
                full += fullHere(s) ? 1 : 0;
            }
        }
        lateHome += known > 1 ? ((double) hot / known - lateHome) / 2 : -lateHome / 4;
        lateAway += knownAway > 0 ? ((double) hotAway / knownAway - lateAway) / 2 : -lateAway / 4;
        // servers that are full only by what stands there from here are no jam while others have room: what a
        // small zone cannot take went elsewhere anyhow, but for those that were refused
        boolean room = full > 0 && hotAway == fullAway && hotAway < readyAway * JAMMED;
        if (known <= 1) {
            // a zone left with one server would never count as jammed by itself
            known += knownAway;
            hot += hotAway;
        }
        hot -= room ? full : 0;
        for (Server s : servers.values()) {
            if (use(s) >= USE_OVER && s.phase == Phase.READY) {
                relocate(s);
            }
        }
        level();
        boolean jam = known > 1 && hot > known * JAMMED;
        boolean calm = shed == 0 && !jam;
        double[] tenantHeld = new double[tenantExcess.length];
        if (calm) {
            Arrays.fill(classHeld, 0);
        }
        for (Request r : requests.values()) {
            if (r.state == State.OPEN) {
                classHeld[r.ask.requestClass()] += calm ? loadOf(r) : 0;
                if (r.ask.tenant() >= 0 && r.ask.tenant() < tenantHeld.length) {
                    tenantHeld[r.ask.tenant()]++;
                }
            }
        }
        double all = 0;
        double quotas = 0;
        for (int t = 0; t < tenantExcess.length; t++) {
            all += tenantHeld[t];
            quotas += tenants.get(t).connections();
        }
        for (int t = 0; t < tenantExcess.length; t++) {
            // judged from this balancer's part: with few connections chance alone looks like excess, and with
            // other balancers dead so does the part itself, hence also against what the others ask here
            double quota = tenants.get(t).connections();
            double asked = tenantHeld[t] - 2 * Math.sqrt(tenantHeld[t]);
            double fair = quotas <= 0 ? 0 : Math.max(quota / set.instances(), all * quota / quotas);
            double excess = quota <= 0 || asked <= fair ? 0 : 1 - fair / asked;
            tenantExcess[t] += (excess - tenantExcess[t]) / 4;
        }
        if (calm) {
            return;
        }
        shed = jam ? Math.min(SHED_MOST, shed + SHED_STEP) : Math.max(0, shed - SHED_STEP / 8);
        double total = 0;
        for (double held : classHeld) {
            total += held;
        }
        if (total <= 0) {
            // nobody tells loads: which class is dear for its load is not known, so all give the same part;
            // by worth alone a light class was shed whole and the jam stayed
            Arrays.fill(classShed, shed);
            return;
        }
        double before = 0;
        Arrays.fill(classShed, -1);
        for (int i = 0; i < classShed.length; i++) {
            int least = -1;
            for (int c = 0; c < classShed.length; c++) {
                if (classShed[c] < 0 && (least < 0 || density(c) < density(least))) {
                    least = c;
                }
            }
            double share = classHeld[least] / total;
            classShed[least] = share <= 0 ? 0 : Math.max(0, Math.min(1, (shed - before) / share));
            before += share;
        }
    }

    private double density(int c) {
        double worth = set.classes().get(c).worth();
        return set.worthByWork() || classLoad[c] <= 0 ? worth : worth / classLoad[c];
    }

    private double loadOf(Request r) {
        return r.load > 0 ? r.load : classLoad[r.ask.requestClass()];
    }

    /** Drawn by client key, so that the same clients stay away and the others are served whole. */
    private boolean shedding(Request r) {
        if (shed <= 0) {
            return false;
        }
        // what a tenant holds beyond its share is worth little: that part goes before any class
        int t = r.ask.tenant();
        double excess = t >= 0 && t < tenantExcess.length && set.overShareWorth() < 1 ? tenantExcess[t] : 0;
        return unit(mix(hash(r.key))) < Math.max(classShed[r.ask.requestClass()], excess);
    }

    private void adopted(Adopted e) {
        ConnectRequest ask = e.request();
        Server s = servers.computeIfAbsent(e.server(), Server::new);
        if (ask.requestClass() < 0 || ask.requestClass() >= set.classes().size()) {
            return;
        }
        Request r = new Request(ask, set.classes().get(ask.requestClass()));
        r.attempts = 1;
        r.at = s;
        requests.put(ask.id(), r);
        open(r);
    }

    private void open(Request r) {
        r.state = State.OPEN;
        r.openedAt = now;
        r.at.held.put(r.ask.id(), r);
        r.weight = guess(r);
        r.at.heldLoad += r.weight;
        openWeight += r.weight;
        openCount++;
        if (r.ask.group() != null) {
            r.at.groups.merge(r.ask.group(), 1, Integer::sum);
        }
        goHomeLater(r);
    }

    /** While set-ups are slow, moves wait: they would add to what slows them. */
    private boolean setUpsQuick() {
        return timeOuts == 0 && setUp < shortestAim / 4;
    }

    /**
     * A connection that stands outside the home zone is paid for by the second. Where servers report their
     * load and home is known to have room, it moves home at a moment drawn over the longest interval.
     * Without reports it stays: zones are skewed, and what crosses may be what balances them.
     */
    private void goHomeLater(Request r) {
        if (probeCount > 0 && r.at.zone != set.homeZone() && set.crossZonePrice() > set.movePrice()) {
            wake(r, now + (long) (uniform() * (slot << MAX_N)));
        }
    }

    private void place(Request r) {
        r.state = State.HELD;
        if (probeCount > 0 && !r.probed && !set.passThrough() && r.ask.group() == null && probe(r)) {
            return;
        }
        Server s = choose(r);
        if (s == null) {
            backOff(r);
            return;
        }
        send(r, s);
    }

    private void send(Request r, Server s) {
        long left = r.ask.deadline() - now;
        if (left <= 0 || !mayRepeat(r)) {
            // the window may have closed while the retry was held
            answer(r, false);
            return;
        }
        r.state = State.OUT;
        r.at = s;
        r.sentAt = now;
        r.attempts++;
        s.sentSinceRatio++;
        if (warmth(s) < 1) {
            s.tokens -= 1;
        }
        if (s.fails > 0) {
            s.trialOut = true;
        }
        boolean more = r.attempts < set.maxAttempts() && home.length + away.length > 1;
        long slice = Math.max((long) (left * ATTEMPT_SLICE), Math.max(3 * setUp, 2 * set.connectTimeout()));
        out.add(new Attempt(r.ask.id(), s.id, more && slice < left ? slice : left));
    }

    private boolean probe(Request r) {
        r.probed = true;
        int known = 0;
        for (Server s : home) {
            known += fresh(s) && allowed(r, s) && unmarked(s) ? 1 : 0;
        }
        if (known >= probeCount * 2) {
            // a wave of arrivals need not ask again what was just told
            return false;
        }
        Server[] pool = home.length > 0 ? home : away;
        List<Server> picked = new ArrayList<>();
        for (int i = 0; i < probeCount * 2 && picked.size() < probeCount; i++) {
            Server s = pool.length == 0 ? null : pool[(int) (uniform() * pool.length)];
            if (s != null && allowed(r, s) && unmarked(s) && !picked.contains(s)) {
                picked.add(s);
            }
        }
        if (picked.isEmpty()) {
            return false;
        }
        r.state = State.PROBING;
        r.probesOut = picked.size();
        for (Server s : picked) {
            List<Request> waiting = probers.get(s.id);
            if (waiting == null) {
                waiting = new ArrayList<>();
                probers.put(s.id, waiting);
                out.add(new Probe(s.id));
            }
            waiting.add(r);
        }
        wake(r, now + shortestAim / 4);
        return true;
    }

    private void probeEnded(ProbeEnded e) {
        Server s = servers.get(e.server());
        if (s != null) {
            int column = set.loadRatioColumn();
            double[] told = e.outcome() == Outcome.OK ? e.report() : null;
            if (told != null && column >= 0 && column < told.length) {
                s.ratio = told[column];
                s.ratioAt = now;
                s.sentSinceRatio = 0;
                if (s.zone == set.homeZone()) {
                    homeRatio = homeRatio < 0 ? s.ratio : homeRatio + (s.ratio - homeRatio) / 8;
                }
            } else if (e.outcome() != Outcome.OK) {
                s.ratio = 2;
                s.ratioAt = now;
            }
        }
        List<Request> waiting = probers.remove(e.server());
        if (waiting == null) {
            return;
        }
        for (Request r : waiting) {
            if (r.state == State.PROBING && --r.probesOut <= 0) {
                place(r);
            }
        }
    }

    // ---- back-off ---------------------------------------------------------------------------------

    private void hold(Request r, long due) {
        r.state = State.HELD;
        wake(r, due);
    }

    private void wake(Request r, long due) {
        wakes.remove(r.wake);
        r.wake = ++lastToken;
        wakes.put(r.wake, r);
        out.add(new SetTimer(Math.max(1, due - now), r.wake));
    }

    /** The last moment at which an attempt still makes sense. */
    private long lastStart(Request r) {
        return r.ask.deadline() - Math.max(set.connectTimeout(), slot);
    }

    /**
     * A failed placement: n rises, the retry is drawn over the whole of the next interval of 2^n slots,
     * which starts where the current one ends, so that generations of retries never overlap.
     */
    private void backOff(Request r) {
        BackOff b = raise(r.key);
        long due = b.end - (slot << b.n) + (long) (uniform() * (slot << b.n));
        if (r.attempts >= set.maxAttempts() || due >= lastStart(r)) {
            answer(r, true);
            return;
        }
        hold(r, due);
    }

    private BackOff raise(String key) {
        BackOff b = backOffs.remove(key);
        if (b == null) {
            b = new BackOff();
        }
        backOffs.put(key, b);
        if (backOffs.size() > MAX_KEYS) {
            Iterator<String> oldest = backOffs.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        b.n = Math.min(b.n + 1, MAX_N);
        b.end = Math.max(now, b.end) + (slot << b.n);
        return b;
    }

    private void timerDue(TimerDue e) {
        if (e.token() == ASK_TIMER) {
            asking = false;
            out.add(new WatchServers());
            return;
        }
        Request r = wakes.remove(e.token());
        if (r != null && r.state == State.OPEN) {
            if (r.at.phase != Phase.READY) {
                out.add(new Relocate(r.ask.id()));
                return;
            }
            if (r.at.fails > 0) {
                clear(r.at);
            }
            boolean roomy = shed == 0 && homeRatio >= 0 && homeRatio < ROOMY_RATIO;
            if (r.at.zone != set.homeZone() && roomy && setUpsQuick()) {
                out.add(new Relocate(r.ask.id()));
            } else {
                goHomeLater(r);
            }
            return;
        }
        if (r != null && (r.state == State.HELD || r.state == State.PROBING)) {
            place(r);
        }
    }

    // ---- outcomes ---------------------------------------------------------------------------------

    private void established(Established e) {
        Request r = requests.get(e.id());
        if (r == null || r.state != State.OUT) {
            return;
        }
        timeOuts = 0;
        setUp += (Math.max(0, e.took()) - setUp) / 4;
        open(r);
        r.at.erredOn = null;
        r.erredAt.forEach(this::mark);
        r.erredAt = List.of();
        if (r.at.fails > 0) {
            // a jammed server takes a connection and drops it soon after: the trial is passed by staying up
            wake(r, now + markSlot);
        }
    }

    private void ended(AttemptEnded e) {
        Request r = requests.get(e.id());
        Server s = servers.get(e.server());
        if (r == null || r.at == null || e.attempt() != r.attempts - 1) {
            if (s != null) {
                s.trialOut = false;
            }
            return;
        }
        boolean stood = r.state == State.OPEN;
        r.at.trialOut = false;
        if (stood) {
            BackOff b = backOffs.get(r.key);
            if (b != null && now - r.openedAt > markSlot && now > b.end) {
                backOffs.remove(r.key);
            }
            if (e.outcome() == Outcome.RESET) {
                // shed or lost: a failed placement, else clients of a full fleet come again without pause
                mark(r.at);
                raise(r.key);
            }
        }
        if (e.requestOver()) {
            if (!stood && failed(e.outcome())) {
                blame(r, e.outcome());
            }
            forget(r);
            return;
        }
        unhold(r);
        if (stood) {
            answer(r, false);
            return;
        }
        if (e.outcome() == Outcome.TIMEOUT) {
            timeOuts++;
            setUp = Math.max(setUp, Math.min(e.took(), r.cls.deadline()));
        }
        // when attempts time out one after another, what they share is slow, not the servers: marks would
        // only empty the fleet, and short attempts would ask the shared store again and again
        if (failed(e.outcome()) && (e.outcome() != Outcome.TIMEOUT || timeOuts <= 2)) {
            blame(r, e.outcome());
        }
        if (!e.outcome().neverRan && r.mayHaveRunAt == null) {
            r.mayHaveRunAt = r.at;
            r.mayHaveRunSince = r.sentAt;
        }
        r.state = State.HELD;
        if (now >= r.ask.deadline() || !mayRepeat(r)) {
            answer(r, false);
            return;
        }
        backOff(r);
    }

    private void blame(Request r, Outcome o) {
        if (o == Outcome.ERROR) {
            erred(r);
        } else {
            mark(r.at);
        }
    }

    private static boolean failed(Outcome o) {
        return o == Outcome.CONNECT_FAILED || o == Outcome.TIMEOUT || o == Outcome.RESET || o == Outcome.FULL
                || o == Outcome.ERROR;
    }

    private void loadChanged(LoadChanged e) {
        Request r = requests.get(e.id());
        if (r != null && r.state == State.OPEN) {
            r.at.heldLoad += e.load() - r.weight;
            openWeight += e.load() - r.weight;
            r.load = e.load();
            r.weight = e.load();
            int c = r.ask.requestClass();
            classLoad[c] += (e.load() - classLoad[c]) * (classLoad[c] == 0 ? 1 : 0.05);
        }
    }

    // ---- relocation -------------------------------------------------------------------------------

    private void delayReported(DelayReported e) {
        Server s = servers.get(e.server());
        if (s == null) {
            return;
        }
        delaysTold = true;
        s.delay = e.delay();
        s.delayAt = now;
        if (e.delay() < tightMessage) {
            s.moveN = 0;
            s.moveEnd = 0;
            return;
        }
        relocate(s);
    }

    /**
     * Connections on a server too slow to serve them are failed placements: each draws a moment over the
     * whole interval, and moves if the server is still slow then; the next interval starts at its end.
     */
    private void relocate(Server s) {
        boolean over = use(s) >= USE_OVER;
        if (now >= s.moveEnd) {
            s.moveN++;
            s.moveStart = now;
            s.moveEnd = now + (slot << MAX_N - 1 + Math.min(s.moveN, 4));
            for (Request r : s.held.values()) {
                r.moveDraw = uniform();
            }
        }
        for (Request r : List.copyOf(s.held.values())) {
            long due = s.moveStart + (long) (r.moveDraw * (s.moveEnd - s.moveStart));
            boolean late = r.moveDraw >= 0 && due <= now && (over || s.delay >= r.cls.messageAim());
            if (shed > 0 ? shedding(r) : late) {
                r.moveDraw = -1;
                out.add(new Relocate(r.ask.id()));
            }
        }
    }

    /**
     * Few heavy connections make most of a server's load. From the one used most here, the heaviest that
     * narrows the gap to the one used least moves, one a look: it weighs more than its group costs there.
     */
    private void level() {
        Server most = null;
        Server least = null;
        for (Server s : servers.values()) {
            if (s.phase == Phase.READY && unmarked(s) && warmth(s) >= 1) {
                most = most == null || use(s) > use(most) ? s : most;
                least = least == null || use(s) < use(least) ? s : least;
            }
        }
        if (most == null || use(most) < USE_FULL || use(most) - use(least) < 2 * USE_GAP) {
            return;
        }
        double fits = (use(most) - use(least)) / 2 * least.rating * CORE;
        Request heaviest = null;
        for (Request r : most.held.values()) {
            boolean settled = now - r.openedAt > 2 * markSlot;
            double above = heaviest == null ? GROUP_LOAD * meanWeight() : heaviest.load;
            if (settled && r.load > above && r.load <= fits) {
                heaviest = r;
            }
        }
        if (heaviest != null) {
            out.add(new Relocate(heaviest.ask.id()));
        }
    }

    // ---- answers ----------------------------------------------------------------------------------

    /** Whether one more attempt can do no effect twice. */
    private boolean mayRepeat(Request r) {
        return r.mayHaveRunAt == null || r.cls.repeat() == Repeat.SAFE
                || (r.cls.repeat() == Repeat.KEYED && now - r.mayHaveRunSince < r.cls.window());
    }

    private boolean mayRefuse(Request r) {
        return r.mayHaveRunAt == null || r.cls.repeat() == Repeat.SAFE
                || (r.cls.repeat() == Repeat.KEYED && r.cls.scope() == Scope.ALL);
    }

    /** The final answer: refused with the rest of the interval where that is allowed, else failed. */
    private void answer(Request r, boolean refuse) {
        if (refuse && mayRefuse(r)) {
            BackOff b = backOffs.get(r.key);
            long rest = b == null ? 0 : Math.max(0, b.end - now);
            // told even where the settings do not promise that clients heed it: those that do stay away
            out.add(new Refuse(r.ask.id(), Math.min(rest, set.maxRetryAfter())));
        } else {
            out.add(new Fail(r.ask.id()));
        }
        forget(r);
    }

    private void unhold(Request r) {
        if (r.at != null && r.at.held.remove(r.ask.id()) != null) {
            r.at.heldLoad -= r.weight;
            openWeight -= r.weight;
            openCount--;
            if (r.ask.group() != null) {
                r.at.groups.computeIfPresent(r.ask.group(), (g, n) -> n > 1 ? n - 1 : null);
            }
        }
    }

    private void forget(Request r) {
        if (r == null) {
            return;
        }
        unhold(r);
        requests.remove(r.ask.id());
        wakes.remove(r.wake);
        r.state = State.HELD;
        r.probesOut = Integer.MAX_VALUE;
    }

    // ---- chance -----------------------------------------------------------------------------------

    private static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    private long next() {
        random += 0x9e3779b97f4a7c15L;
        return mix(random);
    }

    private double uniform() {
        return (next() >>> 11) * 0x1.0p-53;
    }

    /** A number in (0, 1] from a hash. */
    private static double unit(long h) {
        return ((h >>> 11) + 1) * 0x1.0p-53;
    }
}
