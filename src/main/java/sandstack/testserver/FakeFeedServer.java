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
 * A fake feed server of the line protocol with scripted behaviour: it sets connections up with the work that its
 * {@link ServerProfile} states, echoes every line, rejects or sheds connections above its limit, drains, dies and
 * restarts cold. Used on the thread of its loop. A line costs O(1), {@link #kill} O(connections).
 */
public final class FakeFeedServer {
    /**
     * What the server has counted.
     *
     * @param established established connections now
     * @param maxEstablished the most there were at once
     * @param setups connections that were established
     * @param rejected requests rejected with {@code BUSY}
     * @param shed established connections that were dropped above the limit
     * @param lines lines received on established connections
     * @param requests valid requests for a connection
     * @param syntaxErrors requests that were not valid
     * @param busyMicros microseconds for which cores were busy, summed over all
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
    private final Map<String, Long> closedSessionMicros = new HashMap<>();
    private final WorkQueue workQueue;
    private boolean draining;
    private boolean killed;
    private int maxEstablished;
    private long setups;
    private long rejected;
    private long shed;
    private long lines;
    private long requests;
    private long syntaxErrors;
    /** Accepted requests whose set-up has not completed. */
    private int pendingSetups;

    /**
     * Listens at a port that the system chooses.
     *
     * @param uid id by which discovery lists the server
     * @param zone name of its zone
     */
    public FakeFeedServer(TestServerLoop loop, String uid, String zone, ServerProfile machine) throws IOException {
        this(loop, uid, zone, machine, 0);
    }

    /** Listens at a fixed port, or at one that the system chooses where it is 0. */
    public FakeFeedServer(TestServerLoop loop, String uid, String zone, ServerProfile machine, int fixedPort)
            throws IOException {
        this.loop = loop;
        this.uid = uid;
        this.zone = zone;
        this.profile = machine;
        this.workQueue = new WorkQueue(loop, machine);
        this.port = loop.listen(fixedPort, new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** Rejects new connections and keeps the established ones. */
    public void drain() {
        draining = true;
    }

    /** Asks all clients to move, as a draining feed server does. */
    public void moveClients() {
        for (FeedSession session : Set.copyOf(established)) {
            session.closeWith("MOVE\r\n");
        }
    }

    /** Resets all connections and accepts none, like a process that has died. */
    public void kill() {
        killed = true;
        workQueue.clear();
        for (FeedSession session : Set.copyOf(sessions)) {
            session.reset();
        }
    }

    /** Restarts as a fresh process; returns the start time in Unix milliseconds. */
    public long restart() {
        killed = false;
        draining = false;
        long nowMicros = loop.nowMicros();
        workQueue.restarted(nowMicros);
        return nowMicros / 1_000;
    }

    /** Lets a noisy neighbour take this share of every core from now on; 0 ends it. */
    public void setNoisyNeighbourShare(double share) {
        workQueue.setStolenShare(share);
    }

    /** Sends this load report, in microseconds of work a second, on every connection. */
    public void sendLoadReports(double load) {
        for (FeedSession session : established) {
            session.send("LOAD " + load + "\r\n");
        }
    }

    /** An established connection, as the receiver of lines that the feed server sends unasked. */
    public interface Subscriber {
        /** Sends a line, which ends with a line feed; returns false where the connection is closed. */
        boolean send(String line);
    }

    /** The connections established now. */
    public List<Subscriber> subscribers() {
        return List.copyOf(established);
    }

    /** The id by which discovery lists the server. */
    public String uid() {
        return uid;
    }

    /** The name of its zone. */
    public String zone() {
        return zone;
    }

    /** The port at which the server listens. */
    public int port() {
        return port;
    }

    /** The machine on which the server runs. */
    public ServerProfile profile() {
        return profile;
    }

    /** When the process last restarted, in microseconds of the loop's clock; 0 where it has not. */
    public long bootedAtMicros() {
        return workQueue.bootedAtMicros();
    }

    /** Whether the server rejects new connections because it drains. */
    public boolean draining() {
        return draining;
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
     * Seconds for which connections were established, by the value of one attribute of the request, such as the class.
     */
    public Map<String, Double> establishedSeconds(String name) {
        Map<String, Double> seconds = new LinkedHashMap<>();
        closedSessionMicros.forEach(
                (attributes, micros) -> seconds.merge(value(attributes, name), micros / 1e6, Double::sum));
        long nowMicros = loop.nowMicros();
        for (FeedSession session : established) {
            seconds.merge(
                    value(session.attributes(), name), (nowMicros - session.establishedMicros()) / 1e6, Double::sum);
        }
        return seconds;
    }

    private static String value(String attributes, String name) {
        for (String pair : attributes.split(",", 0)) {
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
        if (draining || (!profile.shedsNewest() && isFullWith(1))) {
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
        if (profile.shedsNewest() && isFullWith(0)) {
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
            closedSessionMicros.merge(session.attributes(), loop.nowMicros() - session.establishedMicros(), Long::sum);
        }
    }

    /** Whether this many more connections would exceed the limit. */
    private boolean isFullWith(int additional) {
        return profile.maxConnections() > 0
                && established.size() + pendingSetups + additional > profile.maxConnections();
    }
}
