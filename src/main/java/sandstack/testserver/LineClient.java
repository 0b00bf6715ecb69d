package sandstack.testserver;

import java.util.function.Consumer;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A test client of the line protocol: opens one connection, sends lines at an interval and measures their round trips.
 * Reports each change of its state to a listener. Used on the thread of its loop. A line costs O(1).
 */
public final class LineClient {
    /** The state changes that a client reports. */
    public enum EventType {
        /** The connection is established. */
        ESTABLISHED,
        /** The relay rejected the connection. */
        REJECTED,
        /** The connection failed or was closed before a response, or the response is invalid. */
        FAILED,
        /** No response arrived within the timeout. */
        TIMED_OUT,
        /** The relay asked the established client to reconnect, with {@code MOVE}. */
        MOVED,
        /** The remote side reset or closed the established connection. */
        DISCONNECTED,
        /** This client closed the connection or cancelled the connect. */
        CLOSED
    }

    /**
     * One state change.
     *
     * @param elapsedMicros microseconds since the client started to connect; since the connection was established if
     *     the change ends an established connection
     * @param retryAfterMillis milliseconds to wait before a retry, from a {@code BUSY} response; 0 if it states none
     */
    public record ClientEvent(LineClient client, EventType type, long elapsedMicros, long retryAfterMillis) {}

    private static final String BUSY_PREFIX = "BUSY ";

    private final TestServerLoop loop;
    private final String key;
    private final Consumer<ClientEvent> eventListener;
    private final ResponseReader responseReader = new ResponseReader();
    private Peer peer;
    private EventLoop.PendingConnect connecting;
    /** When the connect started; from the establishment of the connection on, when it was established. */
    private long phaseStartMicros;

    private boolean established;
    private boolean closed;
    private long lineIntervalMicros;
    /** When the line in flight was sent; 0 if none is in flight. */
    private long lineSentMicros;

    private RoundTripListener roundTripListener;
    private Consumer<String> deliveryListener;
    private Deadline responseTimeout;

    /** Receives the round trip of each line. */
    public interface RoundTripListener {
        /** Called on the thread of the loop when the echo of a line arrives. */
        void roundTrip(long roundTripMicros);
    }

    /**
     * Starts to connect; the request is sent as soon as the connection is made.
     *
     * @param id id of the request, unique for each connection
     * @param key client key of the request
     * @param parameters parameters of the request after the key, such as {@code c=order-status,d=10000,g=g1}: class,
     *     deadline in milliseconds and group
     * @param timeoutMicros time limit for the response, from the start of the connect
     * @param eventListener called on the thread of the loop
     */
    public LineClient(
            TestServerLoop loop,
            int port,
            String id,
            String key,
            String parameters,
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
                peer.send("OPEN " + id + " " + key + " " + parameters + "\r\n");
            }

            @Override
            public void failed() {
                close(EventType.FAILED, 0);
            }
        });
    }

    /** The client key of the request. */
    public String key() {
        return key;
    }

    /** Whether the connection is established and open. */
    public boolean isEstablished() {
        return established && !closed;
    }

    /** Sends a line at this interval from now on; skips an interval while the previous line is still in flight. */
    public void sendLines(long intervalMicros, RoundTripListener listener) {
        lineIntervalMicros = intervalMicros;
        roundTripListener = listener;
        sendLine();
    }

    /** Sets the listener for lines from the feed server that are not the echo of a line of this client. */
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

    /** Time since the line in flight was sent, in microseconds; 0 if none is in flight. */
    public long lineInFlightMicros() {
        return lineSentMicros == 0 ? 0 : loop.nowMicros() - lineSentMicros;
    }

    /** Closes the connection, like a client that has finished; reports {@link EventType#CLOSED}. */
    public void close() {
        if (!closed) {
            close(EventType.CLOSED, 0);
        }
    }

    /**
     * Resets the connection, like a client whose process is killed; reports {@link EventType#CLOSED}. The reset frees
     * the client's port at once.
     */
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
            // still null if connect() reported the failure before it returned
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
                roundTripListener.roundTrip(roundTripMicros);
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
