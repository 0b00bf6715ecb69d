package sandstack.testserver;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A fake feed server of the line protocol with scripted behaviour: each set-up and each line takes the work that its
 * {@link ServerProfile} states; it echoes every line and rejects or sheds connections above its limit. Tests can drain
 * it, kill it and restart it with a cold start. Used on the thread of its loop. A line costs O(1), {@link #kill}
 * O(connections).
 */
public final class FakeFeedServer {
    /**
     * Counters since the server was created; a restart does not reset them.
     *
     * @param established established connections now
     * @param maxEstablished maximum number of connections established at the same time
     * @param setups connections that became established
     * @param rejected requests rejected with {@code BUSY}
     * @param shed connections dropped right after set-up because they exceeded the limit
     * @param lines lines received on established connections
     * @param requests valid requests for a connection
     * @param syntaxErrors invalid requests; input that is too long and has no line end is not counted
     * @param busyMicros busy time of the cores in microseconds, summed over all cores
     */
    public record Counters(
            int established,
            int maxEstablished,
            long setups,
            long rejected,
            long shed,
            long lines,
            long requests,
            long syntaxErrors,
            double busyMicros) {}

    private final TestServerLoop loop;
    private final String uid;
    private final String zone;
    private final ServerProfile profile;
    private final int port;
    private final Set<FeedSession> established = new LinkedHashSet<>();
    private final Set<FeedSession> sessions = new LinkedHashSet<>();
    /** Established time of closed connections, by the parameters of their request. */
    private final Map<String, Long> closedSessionMicros = new HashMap<>();

    private final WorkQueue workQueue;
    private boolean draining;
    private boolean killed;
    private int maxEstablished;
    private long setups;
    private boolean hanging;
    private long rejected;
    private long shed;
    private long lines;
    private long requests;
    private long syntaxErrors;
    /** Number of accepted requests whose set-up has not completed. */
    private int pendingSetups;

    /**
     * Listens on a port that the system chooses.
     *
     * @param uid id under which discovery lists the server
     * @param zone name of its zone
     */
    public FakeFeedServer(TestServerLoop loop, String uid, String zone, ServerProfile profile) throws IOException {
        this(loop, uid, zone, profile, 0);
    }

    /** Listens on a fixed port; with 0, on a port that the system chooses. */
    public FakeFeedServer(TestServerLoop loop, String uid, String zone, ServerProfile profile, int fixedPort)
            throws IOException {
        this.loop = loop;
        this.uid = uid;
        this.zone = zone;
        this.profile = profile;
        this.workQueue = new WorkQueue(loop, profile);
        this.port = loop.listen(fixedPort, new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** From now on rejects new connections; established ones stay. */
    public void drain() {
        draining = true;
    }

    /** Sends {@code MOVE} on all established connections and closes them, as a draining feed server does. */
    public void moveClients() {
        for (FeedSession session : Set.copyOf(established)) {
            session.closeWith("MOVE\r\n");
        }
    }

    /** Resets all connections, and new ones at once, like a crashed process; {@link #restart} ends this. */
    public void kill() {
        killed = true;
        workQueue.clear();
        for (FeedSession session : Set.copyOf(sessions)) {
            session.reset();
        }
    }

    /** Restarts as a new process that warms up again; returns its start time in Unix milliseconds. */
    public long restart() {
        killed = false;
        draining = false;
        long nowMicros = loop.nowMicros();
        workQueue.restarted(nowMicros);
        return nowMicros / 1_000;
    }

    /** Simulates a noisy neighbour that takes this share of every core, from 0 (none) to 1. */
    public void setNoisyNeighbourShare(double share) {
        workQueue.setStolenShare(share);
    }

    /** Sends a load report on every established connection; the unit is microseconds of work per second. */
    public void sendLoadReports(double load) {
        for (FeedSession session : established) {
            session.send("LOAD " + load + "\r\n");
        }
    }

    /** An established connection, on which the feed server can also send lines that are not echoes. */
    public interface Subscriber {
        /** Sends a line, which must end with a line feed; returns false if the connection is closed. */
        boolean send(String line);
    }

    /** A snapshot of the established connections. */
    public List<Subscriber> subscribers() {
        return List.copyOf(established);
    }

    /** The id under which discovery lists the server. */
    public String uid() {
        return uid;
    }

    /** The name of its zone. */
    public String zone() {
        return zone;
    }

    /** The port on which the server listens. */
    public int port() {
        return port;
    }

    /** The simulated machine and limits of the server. */
    public ServerProfile profile() {
        return profile;
    }

    /** When the process last restarted, in microseconds of the loop's clock; 0 if it never has. */
    public long bootedAtMicros() {
        return workQueue.bootedAtMicros();
    }

    /** Whether the server is draining and therefore rejects new connections. */
    public boolean isDraining() {
        return draining;
    }

    /** Leaves later requests unanswered, or answers them again. */
    public void setHanging(boolean isHanging) {
        hanging = isHanging;
    }

    /** A snapshot of the counters. */
    public Counters counters() {
        return new Counters(
                established.size(),
                maxEstablished,
                setups,
                rejected,
                shed,
                lines,
                requests,
                syntaxErrors,
                workQueue.busyMicros());
    }

    /**
     * Total established time of connections in seconds, by the value of one parameter of their request.
     *
     * @param name name of the parameter, such as {@code c} for the class
     */
    public Map<String, Double> establishedSeconds(String name) {
        Map<String, Double> seconds = new LinkedHashMap<>();
        closedSessionMicros.forEach(
                (parameters, micros) -> seconds.merge(value(parameters, name), micros / 1e6, Double::sum));
        long nowMicros = loop.nowMicros();
        for (FeedSession session : established) {
            seconds.merge(
                    value(session.parameters(), name), (nowMicros - session.establishedMicros()) / 1e6, Double::sum);
        }
        return seconds;
    }

    /** The value of one parameter in a list such as {@code c=order-status,d=10000}; empty if absent. */
    private static String value(String parameters, String name) {
        for (String pair : parameters.split(",", 0)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void accepted(Peer peer) {
        FeedSession session = new FeedSession(this, peer);
        sessions.add(session);
        if (killed) {
            session.reset();
        }
    }

    void requestReceived(FeedSession session, String id) {
        requests++;
        if (hanging) {
            return;
        }
        if (draining || (!profile.shedsNewest() && wouldExceedLimit(1))) {
            rejected++;
            session.closeWith("BUSY\r\n");
            return;
        }
        session.setupStarted();
        pendingSetups++;
        workQueue.submit(profile.setupMicros(), () -> setupCompleted(session, id));
    }

    void invalidRequestReceived() {
        syntaxErrors++;
    }

    private void setupCompleted(FeedSession session, String id) {
        if (session.isClosed()) {
            return;
        }
        pendingSetups--;
        established.add(session);
        maxEstablished = Math.max(maxEstablished, established.size());
        setups++;
        session.setupCompleted(loop.nowMicros(), "UP " + uid + "-" + id + "\r\n");
        if (profile.shedsNewest() && wouldExceedLimit(0)) {
            shed++;
            session.reset();
        }
    }

    void lineReceived(FeedSession session, String line) {
        lines++;
        workQueue.submit(profile.lineMicros(), () -> session.send(line));
    }

    void sessionClosed(FeedSession session) {
        sessions.remove(session);
        if (session.isSettingUp()) {
            pendingSetups--;
        }
        if (established.remove(session)) {
            closedSessionMicros.merge(session.parameters(), loop.nowMicros() - session.establishedMicros(), Long::sum);
        }
    }

    /** Whether this many additional connections would exceed the limit. */
    private boolean wouldExceedLimit(int additional) {
        return profile.maxConnections() > 0
                && established.size() + pendingSetups + additional > profile.maxConnections();
    }
}
