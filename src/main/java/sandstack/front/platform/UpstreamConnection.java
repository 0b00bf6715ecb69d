package sandstack.front.platform;

import java.util.logging.Logger;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * The connection to the feed server of one attempt: sends the request, evaluates the answer and, once established,
 * forwards lines to the client and scans them for {@code LOAD} reports. A line is forwarded once it is complete, so
 * that the client can be sent {@code MOVE} at any time. Used on the event loop's thread only.
 */
final class UpstreamConnection implements ConnectionAttempt.Upstream, Peer.Listener, EventLoop.ConnectListener {
    private static final Logger LOG = Logger.getLogger("sandstack.platform");
    /** How long a connection may stay half-closed. */
    private static final long HALF_CLOSED_TIMEOUT_MICROS = 10_000_000;

    private static final String MOVE_LINE = PlatformProtocol.MOVE + PlatformProtocol.LINE_END;

    private final PlatformFront front;
    private final PlatformClientSession client;
    private final ConnectionAttempt attempt;
    private final OpenRequest openRequest;
    private final LineScanner scanner = new LineScanner(this::onLine);
    private EventLoop.PendingConnect connecting;
    private Peer peer;
    private boolean established;
    /** Whether the socket has accepted the complete request. */
    private boolean requestSent;

    private String lastLine = "";

    UpstreamConnection(
            PlatformFront front, PlatformClientSession client, ConnectionAttempt attempt, OpenRequest openRequest) {
        this.front = front;
        this.client = client;
        this.attempt = attempt;
        this.openRequest = openRequest;
    }

    void start() {
        connecting = front.connect(attempt.endpoint(), this);
    }

    Peer peer() {
        return peer;
    }

    // Before the feed server's answer

    @Override
    public void connected(Peer newPeer) {
        peer = newPeer;
        peer.setListener(this);
        if (attempt.onConnected()) {
            peer.send(openRequest.toUpstreamLine(attempt.remainingMillis()));
        }
    }

    @Override
    public void failed() {
        attempt.onEnded(ConnectionOutcome.NOT_CONNECTED);
    }

    private void onAnswer() {
        int end = peer.input().indexOf('\n');
        if (end < 0 || end >= PlatformProtocol.MAX_LINE_BYTES) {
            if (peer.input().size() >= PlatformProtocol.MAX_LINE_BYTES) {
                failAttempt(ConnectionOutcome.SERVER_ERROR);
            }
            return;
        }
        String line = peer.input().peekText(end).trim();
        if (line.startsWith(PlatformProtocol.UP + " ") || line.equals(PlatformProtocol.UP)) {
            establish();
            return;
        }
        if (line.equals(PlatformProtocol.SYNTAX)) {
            LOG.warning("feed server could not parse the request server=" + serverId());
        }
        failAttempt(outcomeOfAnswer(line));
    }

    private void establish() {
        established = true;
        client.onEstablished();
        peer.writeInputOf(client.peer());
        scanLines(peer.input().size());
        attempt.onEstablished();
        client.peer().flush();
        peer.flush();
    }

    private static ConnectionOutcome outcomeOfAnswer(String line) {
        return switch (line) {
            case PlatformProtocol.BUSY -> ConnectionOutcome.REJECTED;
            case PlatformProtocol.MOVE -> ConnectionOutcome.SERVER_DRAINING;
            case PlatformProtocol.BYE -> ConnectionOutcome.CLOSED_EARLY;
            default -> line.startsWith(PlatformProtocol.BUSY + " ")
                    ? ConnectionOutcome.REJECTED
                    : ConnectionOutcome.SERVER_ERROR;
        };
    }

    private void failAttempt(ConnectionOutcome outcome) {
        abandon();
        attempt.onEnded(outcome);
    }

    // Called by the feed server's socket, before and after the answer

    @Override
    public void onBytesReceived(int count) {
        if (!established) {
            onAnswer();
            return;
        }
        scanLines(count);
        if (scanner.partialLineBytes() < Peer.BUFFER_LIMIT_BYTES) {
            client.peer().flush();
        } else {
            LOG.warning("line of feed server too long server=" + serverId());
            attempt.onEnded(ConnectionOutcome.SERVER_ERROR);
            migrate();
        }
    }

    /** Scans the last {@code count} bytes of the input, and withholds the part of an incomplete line at its end. */
    private void scanLines(int count) {
        scanner.onBytes(peer.input(), count);
        peer.input().withholdLast(scanner.partialLineBytes());
    }

    @Override
    public void onEndOfInput() {
        if (!established) {
            failAttempt(
                    !requestSent
                            ? ConnectionOutcome.NOT_CONNECTED
                            : peer.input().isEmpty() ? ConnectionOutcome.CLOSED_EARLY : ConnectionOutcome.SERVER_ERROR);
            return;
        }
        attempt.onEnded(outcomeOfLastLine(ConnectionOutcome.CLOSED_EARLY));
        // the client's direction ends in the same way, with a part of a line if that was the last
        peer.input().withholdLast(0);
        client.peer().shutdownOutput();
        scheduleHalfClosedTimeout();
    }

    @Override
    public void onConnectionLost() {
        if (!established) {
            // a feed server that has not received the complete request cannot have executed it
            attempt.onEnded(requestSent ? ConnectionOutcome.RESET : ConnectionOutcome.NOT_CONNECTED);
            return;
        }
        ConnectionOutcome outcome = outcomeOfLastLine(ConnectionOutcome.RESET);
        attempt.onEnded(outcome);
        if (outcome == ConnectionOutcome.RESET) {
            client.reset();
        } else {
            // the feed server's last line announced the end; a reset here could keep that line from the client
            client.closeAfterLastLine(null);
        }
    }

    /** The outcome of an established connection that the feed server's last line announces, else {@code otherwise}. */
    private ConnectionOutcome outcomeOfLastLine(ConnectionOutcome otherwise) {
        return switch (lastLine) {
            case PlatformProtocol.BYE -> ConnectionOutcome.SERVED;
            case PlatformProtocol.MOVE -> ConnectionOutcome.SERVER_DRAINING;
            default -> otherwise;
        };
    }

    @Override
    public void onFlushed() {
        if (established) {
            client.peer().resumeReading();
            closeIfBothEnded();
        } else {
            requestSent = true;
            attempt.onRequestWritten();
        }
    }

    // While the connection is established

    private void onLine(String line) {
        lastLine = line;
        if (line.startsWith(PlatformProtocol.LOAD_PREFIX)) {
            try {
                front.onLoadReport(attempt, Double.parseDouble(line.substring(PlatformProtocol.LOAD_PREFIX.length())));
            } catch (NumberFormatException e) {
                LOG.fine(() -> "load report is not a number server=" + serverId());
            }
        } else {
            attempt.onServerMessage();
        }
    }

    private String serverId() {
        return attempt.endpoint().entry().serverId();
    }

    /** Writes the client's buffered input to the feed server. */
    void forwardClientBytes() {
        attempt.onClientMessage();
        peer.flush();
    }

    /** All buffered bytes have been written to the client: there is room to read more from the feed server. */
    void onClientFlushed() {
        peer.resumeReading();
        closeIfBothEnded();
    }

    /** The client has shut down its output: sends a FIN to the feed server, whose direction stays open. */
    void onClientEndOfInput() {
        attempt.onEnded(ConnectionOutcome.CLIENT_LEFT);
        peer.shutdownOutput();
        scheduleHalfClosedTimeout();
        closeIfBothEnded();
    }

    void onClientConnectionLost() {
        attempt.onEnded(ConnectionOutcome.CLIENT_LEFT);
        peer.reset();
    }

    private void scheduleHalfClosedTimeout() {
        front.relay().deadlines().schedule(front.nowMicros() + HALF_CLOSED_TIMEOUT_MICROS, this::closeBoth);
    }

    private void closeIfBothEnded() {
        if (peer.isOutputEnded() && client.peer().isOutputEnded()) {
            closeBoth();
        }
    }

    private void closeBoth() {
        peer.close();
        client.peer().close();
    }

    /** Migrates a client that has ended its direction and still receives; no effect if the feed server has ended. */
    void migrateHalfClosed() {
        if (!peer.isInputEnded() && !peer.isClosed()) {
            migrate();
        }
    }

    // Called by the relay core

    @Override
    public void abandon() {
        if (connecting != null) {
            connecting.cancel();
        }
        if (peer != null) {
            peer.close();
        }
    }

    /** Sends MOVE after the lines that are complete, drops a part of a line, and closes. */
    @Override
    public void migrate() {
        peer.input().dropLast(scanner.partialLineBytes());
        peer.close();
        client.closeAfterLastLine(MOVE_LINE);
    }
}
