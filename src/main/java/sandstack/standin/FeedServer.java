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
    private static final int LONGEST_LINE = 4096;

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

    private final StandInLoop yard;
    private final String uid;
    private final String zone;
    private final Machine machine;
    private final int port;
    private final Set<Session> standing = new LinkedHashSet<>();
    private final Set<Session> all = new LinkedHashSet<>();
    private final Map<String, Long> standingMicros = new HashMap<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private int working;
    private double taken;
    private long bootedAt;
    private boolean draining;
    private boolean dead;
    private int most;
    private long setups;
    private long turnedAway;
    private long shed;
    private long lines;
    private long asked;
    private long syntax;
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
        this.yard = yard;
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
        for (Session s : Set.copyOf(standing)) {
            s.end("MOVE\r\n");
        }
    }

    /** Resets all its connections and takes none, as a process that has died. */
    public void kill() {
        dead = true;
        queue.clear();
        for (Session s : Set.copyOf(all)) {
            s.reset();
        }
    }

    /** Is back as a fresh process; returns when it started, in Unix milliseconds. */
    public long restart() {
        dead = false;
        draining = false;
        bootedAt = yard.now();
        return bootedAt / 1000;
    }

    /** Another program takes this part of every core from now on; 0 gives all back. */
    public void neighbour(double part) {
        taken = part;
    }

    /** Tells each of its clients this load, in microseconds of work a second. */
    public void tellLoads(double load) {
        for (Session s : standing) {
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
        return List.copyOf(standing);
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
        return new Books(standing.size(), most, setups, turnedAway, shed, lines, asked, syntax, busy);
    }

    /** Connection-seconds that have stood here, by the value of one name of the first line, such as the class. */
    public Map<String, Double> standingSeconds(String name) {
        Map<String, Double> seconds = new LinkedHashMap<>();
        standingMicros.forEach((line, micros) -> seconds.merge(value(line, name), micros / 1e6, Double::sum));
        long now = yard.now();
        for (Session s : standing) {
            seconds.merge(value(s.values, name), (now - s.since) / 1e6, Double::sum);
        }
        return seconds;
    }

    private static String value(String pairs, String name) {
        for (String pair : pairs.split(",", 0)) {
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
                : Math.min(1, (yard.now() - bootedAt) / (double) machine.warmAfter());
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
        yard.after(lasts, () -> {
            working--;
            job.done().run();
            next();
        });
    }

    /** One connection, from its first line to its end. */
    private final class Session implements Peer.Listener, Subscriber {
        final Peer peer;
        String values;
        long since;
        private boolean opening;
        private boolean over;

        Session(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
            all.add(this);
            if (dead) {
                reset();
            }
        }

        @Override
        public void onBytesReceived(int count) {
            int end = peer.input().indexOf('\n');
            while (end >= 0 && !over) {
                String line = peer.input().peekText(end + 1);
                peer.input().skip(end + 1);
                if (values == null) {
                    first(line.trim());
                } else {
                    lines++;
                    work(machine.line(), () -> echo(line));
                }
                end = peer.input().indexOf('\n');
            }
            if (peer.input().size() >= LONGEST_LINE) {
                end("SYNTAX\r\n");
            }
        }

        @Override
        public boolean send(String line) {
            if (!over) {
                peer.send(line);
            }
            return !over;
        }

        private void echo(String line) {
            if (!over) {
                peer.send(line);
            }
        }

        private void first(String line) {
            String[] words = line.split(" ", 0);
            if (words.length != 4 || !words[0].equals("OPEN")) {
                syntax++;
                end("SYNTAX\r\n");
                return;
            }
            asked++;
            values = words[3];
            if (draining || (!machine.sheds() && full(1))) {
                turnedAway++;
                end("BUSY\r\n");
                return;
            }
            opening = true;
            opened++;
            work(machine.setup(), () -> up(words[1]));
        }

        private void up(String id) {
            if (over) {
                return;
            }
            opening = false;
            opened--;
            since = yard.now();
            standing.add(this);
            most = Math.max(most, standing.size());
            setups++;
            peer.send("UP " + uid + "-" + id + "\r\n");
            if (machine.sheds() && full(0)) {
                shed++;
                reset();
            }
        }

        void end(String word) {
            if (!over) {
                gone();
                peer.send(word);
                peer.shutdownOutput();
            }
        }

        void reset() {
            gone();
            peer.reset();
        }

        private void gone() {
            if (over) {
                return;
            }
            over = true;
            all.remove(this);
            if (opening) {
                opened--;
            }
            if (standing.remove(this)) {
                standingMicros.merge(values, yard.now() - since, Long::sum);
            }
        }

        @Override
        public void onFlushed() {
            if (over && peer.isOutputEnded() && peer.isInputEnded()) {
                peer.close();
            }
        }

        @Override
        public void onEndOfInput() {
            gone();
            peer.shutdownOutput();
            peer.close();
        }

        @Override
        public void onConnectionLost() {
            gone();
        }
    }

    private int opened;

    private boolean full(int more) {
        return machine.cap() > 0 && standing.size() + opened + more > machine.cap();
    }
}
