package sandstack.testserver;

import java.util.function.Consumer;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A client of the line protocol for tests: opens a connection, sends lines at an interval and measures the round trips.
 * Reports each change of its state to a listener. Used on the thread of its loop. A line costs O(1).
 */
public final class LineClient {
    /** The changes of state of a client. */
    public enum EventType {
        /** The connection is established. */
        ESTABLISHED,
        /** The relay rejected the connection. */
        REJECTED,
        /** The connection failed or closed before a response, or the response is invalid. */
        FAILED,
        /** No response within the timeout. */
        TIMED_OUT,
        /** The relay asked the established connection to move. */
        MOVED,
        /** The established connection was reset or closed by the other side. */
        DISCONNECTED,
        /** The client closed the connection. */
        CLOSED
    }

    /**
     * One change of state.
     *
     * @param elapsedMicros microseconds since the request, or since the connection was established for what ends it
     * @param retryAfterMillis with {@code BUSY} the milliseconds until a retry; 0 where the relay states none
     */
    public record ClientEvent(LineClient client, EventType type, long elapsedMicros, long retryAfterMillis) {}

    private static final String BUSY_PREFIX = "BUSY ";

    private final TestServerLoop loop;
    private final String key;
    private final Consumer<ClientEvent> eventListener;
    private final ResponseReader responseReader = new ResponseReader();
    private Peer peer;
    private EventLoop.PendingConnect connecting;
    private long phaseStartMicros;
    private boolean established;
    private boolean closed;
    private long lineIntervalMicros;
    private long lineSentMicros;
    private RoundTripListener lineListener;
    private Consumer<String> deliveryListener;
    private Deadline responseTimeout;

    /** Receives the round trip of each line. */
    public interface RoundTripListener {
        /** Called when a line came back, with its round trip in microseconds. */
        void roundTrip(long roundTripMicros);
    }

    /**
     * Connects and sends the request at once.
     *
     * @param id unique for each connection
     * @param attributes the attributes of the request after the key: class, deadline, group
     * @param timeoutMicros time limit for the response
     * @param eventListener is called on the thread of the loop
     */
    public LineClient(
            TestServerLoop loop,
            int port,
            String id,
            String key,
            String attributes,
            long timeoutMicros,
            Consumer<ClientEvent> eventListener) {
        this.loop = loop;
        this.key = key;
        this.eventListener = eventListener;
        this.phaseStartMicros = loop.nowMicros();
        this.responseTimeout = loop.schedule(timeoutMicros, () -> close(EventType.TIMED_OUT, 0));
        connecting = loop.eventLoop().connect(TestServerLoop.LOOPBACK, port, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer connected) {
                peer = connected;
                peer.setListener(responseReader);
                peer.send("OPEN " + id + " " + key + " " + attributes + "\r\n");
            }

            @Override
            public void failed() {
                close(EventType.FAILED, 0);
            }
        });
    }

    /** The key of the request. */
    public String key() {
        return key;
    }

    /** Whether the connection is established and open. */
    public boolean isEstablished() {
        return established && !closed;
    }

    /** Sends a line at this interval from now on, but no more than one at a time. */
    public void sendLines(long intervalMicros, RoundTripListener listener) {
        lineIntervalMicros = intervalMicros;
        lineListener = listener;
        sendLine();
    }

    /** Sets the listener for lines that the feed server sends unasked. */
    public void onDelivery(Consumer<String> listener) {
        deliveryListener = listener;
    }

    private void sendLine() {
        if (!isEstablished()) {
            return;
        }
        if (lineSentMicros == 0) {
            lineSentMicros = loop.nowMicros();
            peer.send("line " + lineSentMicros + "\r\n");
        }
        loop.schedule(lineIntervalMicros, this::sendLine);
    }

    /** How long the line in flight has been waiting for its reply, in microseconds; 0 where none is in flight. */
    public long lineInFlightMicros() {
        return lineSentMicros == 0 ? 0 : loop.nowMicros() - lineSentMicros;
    }

    /** Closes the connection, as a client does that has finished. */
    public void close() {
        if (!closed) {
            close(EventType.CLOSED, 0);
        }
    }

    /** Resets the connection, like a client whose process dies; its port is free at once. */
    public void abort() {
        if (!closed && peer != null) {
            peer.reset();
        }
        close();
    }

    private void close(EventType reason, long retryAfterMillis) {
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
        eventListener.accept(new ClientEvent(this, reason, loop.nowMicros() - phaseStartMicros, retryAfterMillis));
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
                long setupMicros = loop.nowMicros() - phaseStartMicros;
                phaseStartMicros = loop.nowMicros();
                eventListener.accept(new ClientEvent(LineClient.this, EventType.ESTABLISHED, setupMicros, 0));
            } else if (line.startsWith("BUSY")) {
                close(EventType.REJECTED, retryAfterMillis(line));
            } else {
                close(EventType.FAILED, 0);
            }
        }

        private static long retryAfterMillis(String busyLine) {
            return busyLine.length() > BUSY_PREFIX.length()
                    ? Long.parseLong(busyLine.substring(BUSY_PREFIX.length()).trim())
                    : 0;
        }

        private void establishedLineReceived(String line) {
            if (line.equals("MOVE")) {
                close(EventType.MOVED, 0);
            } else if (line.startsWith("line ") && lineSentMicros != 0) {
                long roundTripMicros = loop.nowMicros() - lineSentMicros;
                lineSentMicros = 0;
                lineListener.roundTrip(roundTripMicros);
            } else if (deliveryListener != null) {
                deliveryListener.accept(line);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            close(established ? EventType.DISCONNECTED : EventType.FAILED, 0);
        }

        @Override
        public void onConnectionLost() {
            close(established ? EventType.DISCONNECTED : EventType.FAILED, 0);
        }
    }
}
