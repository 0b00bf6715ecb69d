package sandstack.standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
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
 * A stand-in feed server of the line protocol: sets connections up with the work that its {@link Machine} says, sends
 * every line back, turns away or sheds over its cap, drains, dies and comes back cold. Work waits in one queue for the
 * first core that is free; a neighbour can take a part of every core. Lives on its yard's thread; an accepted line
 * costs O(1), a death O(connections).
 */
public final class FeedServer {
    private static final int MAX_LINE_LENGTH = 4096;

    /** What it has counted by itself. */
    public record Books(
            int standing,
            int mostStanding,
            long setups,
            long turnedAway,
            long shed,
            long lines,
            long asked,
            long reads,
            double busy) {}

    private final StandInLoop loop;
    private final String uid;
    private final String zone;
    private final Machine machine;
    private final int port;
    private final Set<Session> established = new LinkedHashSet<>();
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Map<String, Long> closedSessionMicros = new HashMap<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private int working;
    private double taken;
    private long bootedAt;
    private boolean draining;
    private boolean killed;
    private int maxEstablished;
    private long setups;
    private long rejected;
    private long shed;
    private long lines;
    private long requests;
    private long syntaxErrors;
    private double busy;

    /** One piece of work, in microseconds of a standard core, and what follows once it is done. */
    private record Job(long work, Runnable done) {}

    /**
     * Listens from now on.
     *
     * @param zone name of its zone, as discovery tells it
     */
    public FeedServer(StandInLoop yard, String uid, String zone, Machine machine) throws IOException {
        this(yard, uid, zone, machine, 0);
    }

    /** The same at this port; 0 for one of the system's choice. */
    public FeedServer(StandInLoop yard, String uid, String zone, Machine machine, int at) throws IOException {
        this.loop = yard;
        this.uid = uid;
        this.zone = zone;
        this.machine = machine;
        this.port = yard.loop()
                .listen(StandInLoop.LOOPBACK, at, yard.loop().chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        new Session(EventLoop.peer(context));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    // ---- commands ---------------------------------------------------------------------------------

    /** Takes nothing new; what stands stays. */
    public void drain() {
        draining = true;
    }

    /** Sends its clients away, as a draining feed server does. */
    public void sendAway() {
        for (Session s : Set.copyOf(established)) {
            s.closeWith("MOVE\r\n");
        }
    }

    /** Resets all its connections and takes none, as a process that has died. */
    public void kill() {
        killed = true;
        queue.clear();
        for (Session s : Set.copyOf(sessions)) {
            s.reset();
        }
    }

    /** Is back as a fresh process; returns when it started, in Unix milliseconds. */
    public long restart() {
        killed = false;
        draining = false;
        bootedAt = loop.now();
        return bootedAt / 1000;
    }

    /** Another program takes this part of every core from now on; 0 gives all back. */
    public void neighbour(double part) {
        taken = part;
    }

    /** Tells each of its clients this load, in microseconds of work a second. */
    public void tellLoads(double load) {
        for (Session s : established) {
            s.peer.send("LOAD " + load + "\r\n");
        }
    }

    /** One standing connection, as the receiver of lines that the feed server sends by itself. */
    public interface Subscriber {
        /** Sends it this line, which ends with a line feed; false where the connection is over. */
        boolean send(String line);
    }

    /** All connections that stand now. */
    public List<Subscriber> subscribers() {
        return List.copyOf(established);
    }

    // ---- what others see --------------------------------------------------------------------------

    /** The id that discovery lists it by. */
    public String uid() {
        return uid;
    }

    /** The name of its zone. */
    public String zone() {
        return zone;
    }

    /** The port at which it listens. */
    public int port() {
        return port;
    }

    /** The machine that it runs on. */
    public Machine machine() {
        return machine;
    }

    /** When its process last started, in microseconds of its loop's clock; 0 where it has not restarted. */
    public long bootedAt() {
        return bootedAt;
    }

    /** Whether it takes no new connections any more. */
    public boolean draining() {
        return draining;
    }

    /** What it has counted until now. */
    public Books books() {
        return new Books(
                established.size(), maxEstablished, setups, rejected, shed, lines, requests, syntaxErrors, busy);
    }

    /** Connection-seconds that have stood here, by the value of one name of the first line, such as the class. */
    public Map<String, Double> standingSeconds(String name) {
        Map<String, Double> seconds = new LinkedHashMap<>();
        closedSessionMicros.forEach((line, micros) -> seconds.merge(value(line, name), micros / 1e6, Double::sum));
        long now = loop.now();
        for (Session s : established) {
            seconds.merge(value(s.attributes, name), (now - s.establishedMicros) / 1e6, Double::sum);
        }
        return seconds;
    }

    private static String value(String pairs, String name) {
        for (String pair : pairs.split(",")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    // ---- work -------------------------------------------------------------------------------------

    private double speed() {
        double part = machine.warmAfter() <= 0 || bootedAt == 0
                ? 1
                : Math.min(1, (loop.now() - bootedAt) / (double) machine.warmAfter());
        return machine.speed() * (machine.coldFrom() + (1 - machine.coldFrom()) * part) * (1 - taken);
    }

    private void work(long work, Runnable done) {
        if (work <= 0) {
            done.run();
            return;
        }
        queue.add(new Job(work, done));
        next();
    }

    private void next() {
        if (working >= machine.cores() || queue.isEmpty()) {
            return;
        }
        Job job = queue.poll();
        working++;
        long lasts = Math.max(1, (long) (job.work() / Math.max(1e-6, speed())));
        busy += lasts;
        loop.after(lasts, () -> {
            working--;
            job.done().run();
            next();
        });
    }

    /** One connection, from its first line to its end. */
    private final class Session implements Peer.Owner, Subscriber {
        final Peer peer;
        String attributes;
        long establishedMicros;
        private boolean opening;
        private boolean closed;

        Session(Peer peer) {
            this.peer = peer;
            peer.ownedBy(this);
            sessions.add(this);
            if (killed) {
                reset();
            }
        }

        @Override
        public void received(int count) {
            int end = peer.in().indexOf('\n');
            while (end >= 0 && !closed) {
                String line = peer.in().peek(end + 1);
                peer.in().skip(end + 1);
                if (attributes == null) {
                    openRequestReceived(line.trim());
                } else {
                    lines++;
                    work(machine.line(), () -> echo(line));
                }
                end = peer.in().indexOf('\n');
            }
            if (peer.in().size() >= MAX_LINE_LENGTH) {
                closeWith("SYNTAX\r\n");
            }
        }

        @Override
        public boolean send(String line) {
            if (!closed) {
                peer.send(line);
            }
            return !closed;
        }

        private void echo(String line) {
            if (!closed) {
                peer.send(line);
            }
        }

        private void openRequestReceived(String line) {
            String[] words = line.split(" ");
            if (words.length != 4 || !words[0].equals("OPEN")) {
                syntaxErrors++;
                closeWith("SYNTAX\r\n");
                return;
            }
            requests++;
            attributes = words[3];
            if (draining || (!machine.sheds() && isFull(1))) {
                rejected++;
                closeWith("BUSY\r\n");
                return;
            }
            opening = true;
            pendingSetups++;
            work(machine.setup(), () -> setupCompleted(words[1]));
        }

        private void setupCompleted(String id) {
            if (closed) {
                return;
            }
            opening = false;
            pendingSetups--;
            establishedMicros = loop.now();
            established.add(this);
            maxEstablished = Math.max(maxEstablished, established.size());
            setups++;
            peer.send("UP " + uid + "-" + id + "\r\n");
            if (machine.sheds() && isFull(0)) {
                shed++;
                reset();
            }
        }

        void closeWith(String word) {
            if (!closed) {
                remove();
                peer.send(word);
                peer.finish();
            }
        }

        void reset() {
            remove();
            peer.reset();
        }

        private void remove() {
            if (closed) {
                return;
            }
            closed = true;
            sessions.remove(this);
            if (opening) {
                pendingSetups--;
            }
            if (established.remove(this)) {
                closedSessionMicros.merge(attributes, loop.now() - establishedMicros, Long::sum);
            }
        }

        @Override
        public void flushed() {
            if (closed && peer.outEnded() && peer.inEnded()) {
                peer.close();
            }
        }

        @Override
        public void finished() {
            remove();
            peer.finish();
            peer.close();
        }

        @Override
        public void broken() {
            remove();
        }
    }

    private int pendingSetups;

    private boolean isFull(int more) {
        return machine.cap() > 0 && established.size() + pendingSetups + more > machine.cap();
    }
}
