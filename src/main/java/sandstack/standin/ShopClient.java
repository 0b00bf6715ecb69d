package sandstack.standin;

import java.util.function.Consumer;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A stand-in client of the line protocol: opens a connection, hears the answer, sends a line at a pace and times what
 * comes back. Tells everything that happens to whoever made it. Lives on its yard's thread; a line costs O(1).
 */
public final class ShopClient {
    /** What a client tells of itself. */
    public enum Happened {
        /** The connection stands. */
        UP,
        /** The relay refused it. */
        BUSY,
        /** No connection, its end before an answer, or an answer that is none of the others. */
        FAILED,
        /** No answer within its patience. */
        SILENT,
        /** The standing connection was told to move. */
        MOVED,
        /** The standing connection broke or was closed by the other side. */
        LOST,
        /** The client ended it. */
        LEFT
    }

    /**
     * One thing that happened.
     *
     * @param after microseconds since it asked, or since it was up for what ends a standing connection
     * @param comeBack with BUSY: after how many milliseconds; 0 where not told
     */
    public record Told(ShopClient client, Happened what, long after, long comeBack) {}

    private final StandInLoop yard;
    private final String key;
    private final Consumer<Told> tells;
    private final Tap tap = new Tap();
    private Peer peer;
    private EventLoop.PendingConnect connecting;
    private long began;
    private boolean up;
    private boolean over;
    private long lineEvery;
    private long sentAt;
    private LineHeard heard;
    private Consumer<String> delivered;
    private Deadline silence;

    /** Told of each line that came back and what it took, in microseconds. */
    public interface LineHeard {
        /** A line came back, {@code took} microseconds after it was sent. */
        void heard(long took);
    }

    /**
     * Asks at once.
     *
     * @param id new with every connection
     * @param values what stands behind the key: class, deadline, group
     * @param patience microseconds for the answer
     */
    public ShopClient(
            StandInLoop yard, int port, String id, String key, String values, long patience, Consumer<Told> tells) {
        this.yard = yard;
        this.key = key;
        this.tells = tells;
        this.began = yard.now();
        this.silence = yard.after(patience, () -> ended(Happened.SILENT, 0));
        connecting = yard.loop().connect(StandInLoop.LOOPBACK, port, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer made) {
                peer = made;
                peer.setListener(tap);
                peer.send("OPEN " + id + " " + key + " " + values + "\r\n");
            }

            @Override
            public void failed() {
                ended(Happened.FAILED, 0);
            }
        });
    }

    /** The key that it asked with. */
    public String key() {
        return key;
    }

    /** Whether its connection stands. */
    public boolean standing() {
        return up && !over;
    }

    /** From now on sends a line so often, and tells how long each took to come back. */
    public void talk(long every, LineHeard listener) {
        lineEvery = every;
        heard = listener;
        say();
    }

    /** From now on tells each line that the feed server sends by itself. */
    public void onDelivery(Consumer<String> listener) {
        delivered = listener;
    }

    private void say() {
        if (!standing()) {
            return;
        }
        if (sentAt == 0) {
            sentAt = yard.now();
            peer.send("line " + sentAt + "\r\n");
        }
        yard.after(lineEvery, this::say);
    }

    /** How long the line that is out has been out, in microseconds; 0 where none is. */
    public long waiting() {
        return sentAt == 0 ? 0 : yard.now() - sentAt;
    }

    /** Ends the connection, as a client that has what it came for. */
    public void leave() {
        if (!over) {
            ended(Happened.LEFT, 0);
        }
    }

    /** Ends the connection by a reset, as a client whose process dies; its port is free at once. */
    public void abort() {
        if (!over && peer != null) {
            peer.reset();
        }
        leave();
    }

    private void ended(Happened what, long comeBack) {
        if (over) {
            return;
        }
        over = true;
        silence.cancel();
        if (peer == null) {
            // it may fail before the call that connects has returned
            if (connecting != null) {
                connecting.cancel();
            }
        } else {
            peer.shutdownOutput();
            peer.close();
        }
        tells.accept(new Told(this, what, yard.now() - began, comeBack));
    }

    /** Reads what the relay sends. */
    private final class Tap implements Peer.Listener {
        @Override
        public void onBytesReceived(int count) {
            int end = peer.input().indexOf('\n');
            while (end >= 0 && !over) {
                String line = peer.input().peekText(end + 1).trim();
                peer.input().skip(end + 1);
                line(line);
                end = over ? -1 : peer.input().indexOf('\n');
            }
        }

        private void line(String line) {
            if (up) {
                standing(line);
            } else if (line.startsWith("UP")) {
                up = true;
                silence.cancel();
                long took = yard.now() - began;
                began = yard.now();
                tells.accept(new Told(ShopClient.this, Happened.UP, took, 0));
            } else if (line.startsWith("BUSY")) {
                ended(
                        Happened.BUSY,
                        line.length() > 5 ? Long.parseLong(line.substring(5).trim()) : 0);
            } else {
                ended(Happened.FAILED, 0);
            }
        }

        private void standing(String line) {
            if (line.equals("MOVE")) {
                ended(Happened.MOVED, 0);
            } else if (line.startsWith("line ") && sentAt != 0) {
                long took = yard.now() - sentAt;
                sentAt = 0;
                heard.heard(took);
            } else if (delivered != null) {
                delivered.accept(line);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            ended(up ? Happened.LOST : Happened.FAILED, 0);
        }

        @Override
        public void onConnectionLost() {
            ended(up ? Happened.LOST : Happened.FAILED, 0);
        }
    }
}
