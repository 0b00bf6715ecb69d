package sandstack.decisions;

import java.util.List;
import sandstack.capacity.Cause;
import sandstack.staleness.ListClock;

/**
 * The interface of the decision module: what a balancer is set up with ({@link Settings}), what it
 * tells the module ({@link Event}) and what it is told to do ({@link Action}).
 *
 * <p>Times are microseconds: points in time on the caller's clock, which has no fixed origin and never
 * goes back; durations as plain lengths. Zones, classes, tenants and machine kinds are positions in the
 * lists of the settings, from 0. Ids of requests and servers are opaque. A value that may be absent says so.
 */
public final class Decisions {
    private Decisions() {}

    /** What repeating a request does. */
    public enum Repeat {
        /** Repeats do no harm. */
        SAFE,
        /** Repeats do no harm at servers that drop them by the request's key; see {@link Scope}. */
        KEYED,
        /** A repeat may do harm: never sent again once an attempt may have run. */
        UNSAFE
    }

    /** For keyed requests: the servers that drop each other's repeats. */
    public enum Scope {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell of one zone. */
        CELL;

        /** Whether a server of that zone and cell drops what one of this zone and cell has seen. */
        public boolean covers(int zone, int cell, int otherZone, int otherCell) {
            return this == ALL || zone == otherZone && (this == ZONE || cell == otherCell);
        }
    }

    /** State of a server in the list: takes work, finishes what it has, or taken away. */
    public enum Phase {
        /** Takes new work. */
        READY,
        /** Finishes what it has and takes nothing new. */
        DRAINING,
        /** Taken away. */
        GONE
    }

    /** What a server list event brings. SAVED is the last list held before a restart; it may be old. */
    public enum ListKind {
        /** All servers there are; one that is missing is gone. */
        FULL,
        /** Only the servers that have changed. */
        CHANGES,
        /** The last list held before a restart; it may be old. */
        SAVED,
        /** The ask or the watch has failed; there is no list. */
        FAILED
    }

    /** How an attempt, a standing connection or a probe ended. */
    public enum Outcome {
        /** Served to its end; for a probe: answered. */
        OK(false),
        /** The server gave an error. */
        ERROR(false),
        /** Turned away unseen: no room, or draining. */
        FULL(true),
        /** No answer in time. */
        TIMEOUT(false),
        /** No connection could be made. */
        CONNECT_FAILED(true),
        /** The connection broke. */
        RESET(false),
        /** Called off, or the client left. */
        CANCELLED(false),
        /** Never sent: the request had ended or had no attempt left. */
        MOOT(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether the attempt failed at its server. */
        public boolean failed() {
            return this != OK && this != CANCELLED && this != MOOT;
        }
    }

    /**
     * A class of requests.
     *
     * @param aim time in which a connection should stand
     * @param deadline total time a client waits
     * @param worth worth of one request, or of a unit of work where {@link Settings#worthByWork}
     * @param repeat what repeating does
     * @param scope with KEYED: which servers drop repeats
     * @param window with KEYED: how long repeats are dropped, from the first attempt that may have run
     * @param messageAim aim for one message on a standing connection; 0 where none is stated
     */
    public record RequestClass(
            long aim, long deadline, double worth, Repeat repeat, Scope scope, long window, long messageAim) {}

    /**
     * A tenant.
     *
     * @param connections open connections within its share, over all balancers; 0 where not stated
     * @param share its part of the service
     */
    public record Tenant(double connections, double share) {}

    /**
     * All that one balancer instance is set up with. The constructor refuses what makes no sense with an
     * {@link IllegalArgumentException} that names the setting.
     *
     * @param self number of this instance, from 0
     * @param instances how many instances there are, this one included
     * @param homeZone zone of this instance
     * @param zones number of zones
     * @param classes the classes, at least one
     * @param tenants the tenants; may be empty
     * @param overShareWorth worth of traffic past a tenant's share, as a part of the usual
     * @param worthByWork worth is counted per unit of work, not per request
     * @param passThrough packets pass through: when the set of balancers changes, standing connections
     *     arrive mid-flow at another. Otherwise connections end at the balancer
     * @param sharedGroups connections of one group share work on a server
     * @param listOnRequest the server list comes only when asked for; otherwise changes arrive unasked
     * @param askWithin where listOnRequest: how long one may go without asking or a subscription
     * @param maxAttempts attempts allowed for one request, at least 1
     * @param connectTimeout when a connection that is not up counts as failed
     * @param retryAfter clients are told how long to stay away
     * @param maxRetryAfter the longest such advice that clients follow
     * @param probes servers may be probed
     * @param probePrice price of one probe per request
     * @param peers messages to other instances are allowed
     * @param peerPrice price of 256 bytes delivered per request
     * @param crossZonePrice price of each request crossing zones once
     * @param movePrice price of each client moved once
     * @param drainGrace how long sends to a draining or gone server may go on after it was told
     * @param coldFrom part of its capacity that a starting server has at the least
     * @param warmAfter time after which it has all of it
     * @param tipMultiple work beyond this multiple of its present capacity...
     * @param tipAfter ...for this long makes a cold server fall over
     * @param sized a server's rating is its size, as registered or about; otherwise it is 1 or changes with what it holds
     */
    public record Settings(
            int self,
            int instances,
            int homeZone,
            int zones,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            boolean worthByWork,
            boolean passThrough,
            boolean sharedGroups,
            boolean listOnRequest,
            long askWithin,
            int maxAttempts,
            long connectTimeout,
            boolean retryAfter,
            long maxRetryAfter,
            boolean probes,
            double probePrice,
            boolean peers,
            double peerPrice,
            double crossZonePrice,
            double movePrice,
            long drainGrace,
            double coldFrom,
            long warmAfter,
            double tipMultiple,
            long tipAfter,
            boolean sized) {

        /** Checks the values; an {@link IllegalArgumentException} names the one that is out of range. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(!classes.isEmpty(), "classes", "is empty");
            for (RequestClass c : classes) {
                require(c.aim() > 0, "classes.aim", "must be above 0");
                require(c.deadline() > 0, "classes.deadline", "must be above 0");
                require(c.worth() >= 0, "classes.worth", "is negative");
                require(c.window() >= 0, "classes.window", "is negative");
                require(c.messageAim() >= 0, "classes.messageAim", "is negative");
            }
            require(instances >= 1, "instances", "must be at least 1");
            require(self >= 0, "self", "is negative");
            require(zones >= 1, "zones", "must be at least 1");
            require(homeZone >= 0 && homeZone < zones, "homeZone", "is out of range");
            require(maxAttempts >= 1, "maxAttempts", "must be at least 1");
            require(askWithin >= 0, "askWithin", "is negative");
            require(connectTimeout >= 0, "connectTimeout", "is negative");
            require(maxRetryAfter >= 0, "maxRetryAfter", "is negative");
            require(probePrice >= 0, "probePrice", "is negative");
            require(peerPrice >= 0, "peerPrice", "is negative");
            require(crossZonePrice >= 0, "crossZonePrice", "is negative");
            require(movePrice >= 0, "movePrice", "is negative");
            require(drainGrace >= 0, "drainGrace", "is negative");
            require(coldFrom >= 0 && coldFrom <= 1, "coldFrom", "must be from 0 to 1");
            require(warmAfter >= 0, "warmAfter", "is negative");
            require(tipMultiple >= 0, "tipMultiple", "is negative");
            require(tipAfter >= 0, "tipAfter", "is negative");
        }

        /** When what the list's source has to tell counts as told, and when to ask again. */
        public ListClock list() {
            return new ListClock(!listOnRequest, askWithin);
        }

        /** Whether there is a class at this position. */
        public boolean knows(int requestClass) {
            return requestClass >= 0 && requestClass < classes.size();
        }

        /** The least set-up aim of any class. */
        public long tightestAim() {
            return classes.stream().mapToLong(RequestClass::aim).min().orElseThrow();
        }

        /** The least deadline of any class, in microseconds. */
        public long shortestDeadline() {
            return classes.stream().mapToLong(RequestClass::deadline).min().orElseThrow();
        }

        /** The greatest deadline of any class, in microseconds. */
        public long longestDeadline() {
            return classes.stream().mapToLong(RequestClass::deadline).max().orElseThrow();
        }

        /** The least aim for a message of the classes that state one; very large where none does. */
        public double tightestMessage() {
            return classes.stream()
                    .mapToDouble(RequestClass::messageAim)
                    .filter(aim -> aim > 0)
                    .min()
                    .orElse(Double.MAX_VALUE);
        }

        /** The part of its capacity that a server has by now, if it started then; 1 where that is long ago. */
        public double warmth(long startedAt, long now) {
            if (startedAt == 0 || warmAfter == 0) {
                return 1;
            }
            double part = (now - startedAt) / (double) warmAfter;
            return part >= 1 ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, part);
        }

        private static void require(boolean holds, String setting, String trouble) {
            if (!holds) {
                throw new IllegalArgumentException("setting " + setting + " " + trouble);
            }
        }
    }

    /**
     * One line of a server list.
     *
     * @param cell the small group of servers that share remembered keys; with its zone, unique
     * @param kind kind of machine
     * @param startedAt when its process last started; 0 means long ago
     * @param rating size to compare with others; above 0
     */
    public record ServerEntry(
            String server, int zone, int cell, int kind, long startedAt, Phase phase, double rating) {}

    /** What the balancer tells the module. */
    public sealed interface Event {}

    /** News of the server list. With FAILED there are no entries and the old list stays. */
    public record ServerList(ListKind kind, List<ServerEntry> entries) implements Event {}

    /**
     * A client wants a connection; the instance owes exactly one final answer by the deadline.
     *
     * @param clientKey the same whenever this client comes; null where unknown
     * @param group connections of one group share work; null where there are none
     * @param deadline point in time when the client stops waiting for this try
     * @param load expected work a second, in microseconds on a standard core; 0 where unknown
     * @param midFlow an open connection's packets now arrive here: the server that has it continues it
     * @param returning the client came back after a break or a move
     */
    public record ConnectRequest(
            String id,
            int requestClass,
            int tenant,
            String clientKey,
            String group,
            long deadline,
            double load,
            boolean midFlow,
            boolean returning)
            implements Event {}

    /** A connection that already stands goes through this instance; attempt 0 counts as made. */
    public record Adopted(ConnectRequest request, String server) implements Event {}

    /** The connection stands; from now it has no deadline. */
    public record Established(String id, int attempt, String server, long took) implements Event {}

    /** A standing connection's load has changed, to so many microseconds of work a second. */
    public record LoadChanged(String id, int attempt, String server, double load) implements Event {}

    /** A message at this server takes so many microseconds now. */
    public record DelayReported(String id, int attempt, String server, double delay) implements Event {}

    /**
     * An attempt or a standing connection ended; each attempt gets exactly one.
     *
     * @param requestOver nothing more is owed for the request; otherwise the final answer still is
     * @param report load report in the order of the site's columns; null where none came
     */
    public record AttemptEnded(
            String id, int attempt, String server, Outcome outcome, boolean requestOver, long took, double[] report)
            implements Event {}

    /** The client left; nothing more is owed. */
    public record ClientGone(String id) implements Event {}

    /** A timer set by {@link SetTimer} came due. */
    public record TimerDue(long token) implements Event {}

    /** The result of a probe that somebody else sent; the module sends none. The report is null where none came. */
    public record ProbeEnded(String server, Outcome outcome, long took, double[] report) implements Event {}

    /** The tenants have changed; each keeps its position, and new ones stand behind the others. */
    public record TenantsChanged(List<Tenant> tenants) implements Event {}

    /**
     * Other settings count from now on, for the same instance. Classes keep their positions, new ones stand behind;
     * requests under way keep their class and have the lower number of attempts.
     */
    public record SettingsChanged(Settings settings) implements Event {}

    /** So many processes are this instance together, while one takes over from another; usually 1. */
    public record Processes(int count) implements Event {}

    /** Another instance sent this text. */
    public record PeerMessage(int from, String text) implements Event {}

    /**
     * Carries actions out: one method for each kind.
     *
     * @param <E> what carrying out may throw; {@link RuntimeException} where nothing has to be caught
     */
    public interface ActionHandler<E extends Exception> {
        /** Starts an attempt. */
        void attempt(Attempt action) throws E;

        /** Refuses a request for good. */
        void refuse(Refuse action) throws E;

        /** Answers a request as failed. */
        void fail(Fail action) throws E;

        /** Moves a standing connection. */
        void relocate(Relocate action) throws E;

        /** Sets a timer. */
        void setTimer(SetTimer action) throws E;

        /** Asks for changes of the server list. */
        void watchServers(WatchServers action) throws E;
    }

    /** What the module decides; the balancer carries actions out in order, at once. */
    public sealed interface Action {
        /** Calls the handler's method for this kind of action. */
        <E extends Exception> void dispatch(ActionHandler<E> handler) throws E;
    }

    /** Try this server. A time-out of 0 lasts until the client stops waiting. */
    public record Attempt(String id, String server, long timeout) implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.attempt(this);
        }
    }

    /** Final answer: refused for this cause; trying again does no harm. retryAfter 0 gives no advice. */
    public record Refuse(String id, long retryAfter, Cause cause) implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.refuse(this);
        }
    }

    /** Final answer: failed; no claim about effects. */
    public record Fail(String id) implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.fail(this);
        }
    }

    /** End this standing connection politely; its client comes again as a new request. */
    public record Relocate(String id) implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.relocate(this);
        }
    }

    /** Send {@link TimerDue} with this token so long from now. */
    public record SetTimer(long after, long token) implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.setTimer(this);
        }
    }

    /** Ask for changes of the server list from now on; a {@link ServerList} answers. */
    public record WatchServers() implements Action {
        @Override
        public <E extends Exception> void dispatch(ActionHandler<E> handler) throws E {
            handler.watchServers(this);
        }
    }
}
