package sandstack.standin;

import java.util.function.Consumer;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A client of the line protocol for tests: opens a connection, sends lines at an interval and measures the round trips.
 * Reports each change of its state to a listener. Used on the thread of its loop. A line costs O(1).
 */
public final class ShopClient {
    /** The changes of state of a client. */
    public enum Happened {
        /** The connection is established. */
        UP,
        /** The relay rejected the connection. */
        BUSY,
        /** The connection failed or closed before a response, or the response is invalid. */
        FAILED,
        /** No response within the timeout. */
        SILENT,
        /** The relay asked the established connection to move. */
        MOVED,
        /** The established connection was reset or closed by the other side. */
        LOST,
        /** The client closed the connection. */
        LEFT
    }

    /**
     * One change of state.
     *
     * @param after microseconds since the request, or since the connection was established for what ends it
     * @param comeBack with {@code BUSY} the milliseconds until a retry; 0 where the relay states none
     */
    public record Told(ShopClient client, Happened what, long after, long comeBack) {}

    private static final String BUSY_PREFIX = "BUSY ";

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

    /** Receives the round trip of each line. */
    public interface LineHeard {
        /** Called when a line came back, with its round trip in microseconds. */
        void heard(long roundTripMicros);
    }

    /**
     * Connects and sends the request at once.
     *
     * @param id unique for each connection
     * @param attributes the attributes of the request after the key: class, deadline, group
     * @param timeoutMicros time limit for the response
     * @param eventListener is called on the thread of the loop
     */
    public ShopClient(
            StandInLoop loop,
            int port,
            String id,
            String key,
            String attributes,
            long timeoutMicros,
            Consumer<Told> eventListener) {
        this.loop = loop;
        this.key = key;
        this.eventListener = eventListener;
        this.phaseStartMicros = loop.now();
        this.responseTimeout = loop.after(timeoutMicros, () -> close(Happened.SILENT, 0));
        connecting = loop.eventLoop().connect(StandInLoop.LOOPBACK, port, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer connected) {
                peer = connected;
                peer.setListener(responseReader);
                peer.send("OPEN " + id + " " + key + " " + attributes + "\r\n");
            }

            @Override
            public void failed() {
                close(Happened.FAILED, 0);
            }
        });
    }

    /** The key of the request. */
    public String key() {
        return key;
    }

    /** Whether the connection is established and open. */
    public boolean standing() {
        return established && !closed;
    }

    /** Sends a line at this interval from now on, but no more than one at a time. */
    public void talk(long intervalMicros, LineHeard listener) {
        lineIntervalMicros = intervalMicros;
        lineListener = listener;
        sendLine();
    }

    /** Sets the listener for lines that the feed server sends unasked. */
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

    /** How long the line in flight has been waiting for its reply, in microseconds; 0 where none is in flight. */
    public long waiting() {
        return lineSentMicros == 0 ? 0 : loop.now() - lineSentMicros;
    }

    /** Closes the connection, as a client does that has finished. */
    public void leave() {
        if (!closed) {
            close(Happened.LEFT, 0);
        }
    }

    /** Resets the connection, like a client whose process dies; its port is free at once. */
    public void abort() {
        if (!closed && peer != null) {
            peer.reset();
        }
        leave();
    }

    private void close(Happened reason, long retryAfterMillis) {
        if (closed) {
            return;
        }
        closed = true;
        responseTimeout.cancel();
        if (peer == null) {
            // null where the connection failed before the call that starts it returned
            if (connecting != null) {
                connecting.cancel();
            }
        } else {
            peer.shutdownOutput();
            peer.close();
        }
        eventListener.accept(new Told(this, reason, loop.now() - phaseStartMicros, retryAfterMillis));
    }

    /** Reads the responses and lines from the relay. */
    private final class ResponseReader implements Peer.Listener {
        @Override
        public void onBytesReceived(int count) {
            int end = peer.input().indexOf('\n');
            while (end >= 0 && !closed) {
                String line = peer.input().peekText(end + 1).trim();
                peer.input().skip(end + 1);
                lineReceived(line);
                end = closed ? -1 : peer.input().indexOf('\n');
            }
        }

        private void lineReceived(String line) {
            if (established) {
                establishedLineReceived(line);
            } else if (line.startsWith("UP")) {
                established = true;
                responseTimeout.cancel();
                long setupMicros = loop.now() - phaseStartMicros;
                phaseStartMicros = loop.now();
                eventListener.accept(new Told(ShopClient.this, Happened.UP, setupMicros, 0));
            } else if (line.startsWith("BUSY")) {
                close(Happened.BUSY, retryAfterMillis(line));
            } else {
                close(Happened.FAILED, 0);
            }
        }

        private static long retryAfterMillis(String busyLine) {
            return busyLine.length() > BUSY_PREFIX.length()
                    ? Long.parseLong(busyLine.substring(BUSY_PREFIX.length()).trim())
                    : 0;
        }

        private void establishedLineReceived(String line) {
            if (line.equals("MOVE")) {
                close(Happened.MOVED, 0);
            } else if (line.startsWith("line ") && lineSentMicros != 0) {
                long roundTripMicros = loop.now() - lineSentMicros;
                lineSentMicros = 0;
                lineListener.heard(roundTripMicros);
            } else if (deliveryListener != null) {
                deliveryListener.accept(line);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            close(established ? Happened.LOST : Happened.FAILED, 0);
        }

        @Override
        public void onConnectionLost() {
            close(established ? Happened.LOST : Happened.FAILED, 0);
        }
    }
}
