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

    private final StandInLoop loop;
    private final String key;
    private final Consumer<Told> eventListener;
    private final ResponseReader responseReader = new ResponseReader();
    private Peer peer;
    private EventLoop.PendingConnect connecting;
    private long phaseStartMicros;
    private boolean established;
    private boolean closed;
    private long lineIntervalMicros;
    private long lineSentMicros;
    private LineHeard lineListener;
    private Consumer<String> deliveryListener;
    private Deadline responseTimeout;

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
        this.loop = yard;
        this.key = key;
        this.eventListener = tells;
        this.phaseStartMicros = yard.now();
        this.responseTimeout = yard.after(patience, () -> close(Happened.SILENT, 0));
        connecting = yard.loop().connect(StandInLoop.LOOPBACK, port, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer made) {
                peer = made;
                peer.ownedBy(responseReader);
                peer.send("OPEN " + id + " " + key + " " + values + "\r\n");
            }

            @Override
            public void failed() {
                close(Happened.FAILED, 0);
            }
        });
    }

    /** The key that it asked with. */
    public String key() {
        return key;
    }

    /** Whether its connection stands. */
    public boolean standing() {
        return established && !closed;
    }

    /** From now on sends a line so often, and tells how long each took to come back. */
    public void talk(long every, LineHeard listener) {
        lineIntervalMicros = every;
        lineListener = listener;
        sendLine();
    }

    /** From now on tells each line that the feed server sends by itself. */
    public void onDelivery(Consumer<String> listener) {
        deliveryListener = listener;
    }

    private void sendLine() {
        if (!standing()) {
            return;
        }
        if (lineSentMicros == 0) {
            lineSentMicros = loop.now();
            peer.send("line " + lineSentMicros + "\r\n");
        }
        loop.after(lineIntervalMicros, this::sendLine);
    }

    /** How long the line that is out has been out, in microseconds; 0 where none is. */
    public long waiting() {
        return lineSentMicros == 0 ? 0 : loop.now() - lineSentMicros;
    }

    /** Ends the connection, as a client that has what it came for. */
    public void leave() {
        if (!closed) {
            close(Happened.LEFT, 0);
        }
    }

    /** Ends the connection by a reset, as a client whose process dies; its port is free at once. */
    public void abort() {
        if (!closed && peer != null) {
            peer.reset();
        }
        leave();
    }

    private void close(Happened what, long comeBack) {
        if (closed) {
            return;
        }
        closed = true;
        responseTimeout.cancel();
        if (peer == null) {
            // it may fail before the call that connects has returned
            if (connecting != null) {
                connecting.cancel();
            }
        } else {
            peer.finish();
            peer.close();
        }
        eventListener.accept(new Told(this, what, loop.now() - phaseStartMicros, comeBack));
    }

    /** Reads what the relay sends. */
    private final class ResponseReader implements Peer.Owner {
        @Override
        public void received(int count) {
            int end = peer.in().indexOf('\n');
            while (end >= 0 && !closed) {
                String line = peer.in().peek(end + 1).trim();
                peer.in().skip(end + 1);
                lineReceived(line);
                end = closed ? -1 : peer.in().indexOf('\n');
            }
        }

        private void lineReceived(String line) {
            if (established) {
                establishedLineReceived(line);
            } else if (line.startsWith("UP")) {
                established = true;
                responseTimeout.cancel();
                long took = loop.now() - phaseStartMicros;
                phaseStartMicros = loop.now();
                eventListener.accept(new Told(ShopClient.this, Happened.UP, took, 0));
            } else if (line.startsWith("BUSY")) {
                close(
                        Happened.BUSY,
                        line.length() > 5 ? Long.parseLong(line.substring(5).trim()) : 0);
            } else {
                close(Happened.FAILED, 0);
            }
        }

        private void establishedLineReceived(String line) {
            if (line.equals("MOVE")) {
                close(Happened.MOVED, 0);
            } else if (line.startsWith("line ") && lineSentMicros != 0) {
                long took = loop.now() - lineSentMicros;
                lineSentMicros = 0;
                lineListener.heard(took);
            } else if (deliveryListener != null) {
                deliveryListener.accept(line);
            }
        }

        @Override
        public void flushed() {}

        @Override
        public void finished() {
            close(established ? Happened.LOST : Happened.FAILED, 0);
        }

        @Override
        public void broken() {
            close(established ? Happened.LOST : Happened.FAILED, 0);
        }
    }
}
