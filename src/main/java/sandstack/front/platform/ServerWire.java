package sandstack.front.platform;

import java.util.logging.Logger;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/** The way to the feed server of one execution: its connection, the request's line, its answer and its lines. */
final class ServerWire implements ConnectionAttempt.Upstream, Peer.Listener, EventLoop.ConnectListener {
    private static final Logger LOG = Logger.getLogger("sandstack.platform");
    private static final int LONGEST_LINE = 4096;
    /** A move waits so long for the end of a line that the feed server has half sent. */
    private static final long LINE_END_WITHIN = 500_000;
    /** After one side has ended its sending, the other may go on while something still passes. */
    private static final long HALF_OPEN = 10_000_000;

    private final PlatformFront front;
    private final PlatformClient client;
    private final ConnectionAttempt execution;
    private final FirstLine firstLine;
    private final LineTap tap = new LineTap(this::line);
    private EventLoop.PendingConnect connecting;
    private Peer peer;
    private boolean standing;
    private boolean moving;
    /** Whether all of the request's line has been written. */
    private boolean sent;

    private String lastLine = "";

    ServerWire(PlatformFront front, PlatformClient client, ConnectionAttempt execution, FirstLine firstLine) {
        this.front = front;
        this.client = client;
        this.execution = execution;
        this.firstLine = firstLine;
    }

    void start() {
        connecting = front.connect(execution.endpoint(), this);
    }

    Peer peer() {
        return peer;
    }

    // ---- before UP --------------------------------------------------------------------------------

    @Override
    public void connected(Peer made) {
        peer = made;
        peer.setListener(this);
        if (execution.onConnected()) {
            peer.send(firstLine.toServer(execution.remainingMillis()));
        }
    }

    @Override
    public void failed() {
        execution.onEnded(ConnectionOutcome.NOT_CONNECTED);
    }

    private void answered() {
        int end = peer.input().indexOf('\n');
        if (end < 0 || end >= LONGEST_LINE) {
            if (peer.input().size() >= LONGEST_LINE) {
                fail(ConnectionOutcome.SERVER_ERROR);
            }
            return;
        }
        String line = peer.input().peekText(end).trim();
        if (line.startsWith("UP ") || line.equals("UP")) {
            standing = true;
            client.stand();
            peer.writeInputOf(client.peer());
            tap.heard(peer.input(), peer.input().size());
            execution.onEstablished();
            client.peer().flush();
            peer.flush();
            return;
        }
        if (line.equals("SYNTAX")) {
            LOG.warning("a feed server did not understand a first line");
        }
        fail(
                switch (line) {
                    case "BUSY" -> ConnectionOutcome.REJECTED;
                    case "MOVE" -> ConnectionOutcome.SERVER_DRAINING;
                    case "BYE" -> ConnectionOutcome.CLOSED_EARLY;
                    default -> line.startsWith("BUSY ") ? ConnectionOutcome.REJECTED : ConnectionOutcome.SERVER_ERROR;
                });
    }

    private void fail(ConnectionOutcome ending) {
        abandon();
        execution.onEnded(ending);
    }

    // ---- both -------------------------------------------------------------------------------------

    @Override
    public void onBytesReceived(int count) {
        if (!standing) {
            answered();
            return;
        }
        tap.heard(peer.input(), count);
        if (moving) {
            moveAtLineEnd();
        } else {
            client.peer().flush();
        }
    }

    @Override
    public void onEndOfInput() {
        if (!standing) {
            fail(
                    !sent
                            ? ConnectionOutcome.NOT_CONNECTED
                            : peer.input().isEmpty() ? ConnectionOutcome.CLOSED_EARLY : ConnectionOutcome.SERVER_ERROR);
            return;
        }
        execution.onEnded(lastWord(ConnectionOutcome.CLOSED_EARLY));
        if (moving) {
            moveNow();
        } else {
            client.peer().shutdownOutput();
            halfOpen();
        }
    }

    @Override
    public void onConnectionLost() {
        if (!standing) {
            // what never had the whole line never ran
            execution.onEnded(sent ? ConnectionOutcome.RESET : ConnectionOutcome.NOT_CONNECTED);
            return;
        }
        ConnectionOutcome ending = lastWord(ConnectionOutcome.RESET);
        execution.onEnded(ending);
        if (moving) {
            moveNow();
        } else if (ending == ConnectionOutcome.RESET) {
            client.reset();
        } else {
            // it had said its last word: a reset on this side too would take that from the client
            client.end(null);
        }
    }

    /** What the feed server's last line makes of the end of a standing connection. */
    private ConnectionOutcome lastWord(ConnectionOutcome without) {
        return switch (lastLine) {
            case "BYE" -> ConnectionOutcome.SERVED;
            case "MOVE" -> ConnectionOutcome.SERVER_DRAINING;
            default -> without;
        };
    }

    @Override
    public void onFlushed() {
        if (standing) {
            client.peer().resumeReading();
            closeIfBothEnded();
        } else {
            sent = true;
            execution.onRequestWritten();
        }
    }

    // ---- while it stands --------------------------------------------------------------------------

    private void line(String line) {
        lastLine = line;
        if (line.startsWith("LOAD ")) {
            try {
                front.loadTold(execution, Double.parseDouble(line.substring(5)));
            } catch (NumberFormatException e) {
                LOG.fine("a load that is no number");
            }
        } else {
            execution.onServerMessage();
        }
    }

    /** What the client sent goes out to the feed server. */
    void passOn() {
        execution.onClientMessage();
        peer.flush();
    }

    /** What the feed server sent has gone out to the client: there is room for more. */
    void roomAgain() {
        peer.resumeReading();
        closeIfBothEnded();
    }

    /** The client has ended its sending: so is ours to the feed server, which may still have something to say. */
    void clientFinished() {
        execution.onEnded(ConnectionOutcome.CLIENT_LEFT);
        peer.shutdownOutput();
        halfOpen();
        closeIfBothEnded();
    }

    void clientBroke() {
        execution.onEnded(ConnectionOutcome.CLIENT_LEFT);
        peer.reset();
    }

    private void halfOpen() {
        front.relay().deadlines().schedule(front.now() + HALF_OPEN, this::closeBoth);
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

    // ---- from the relay ---------------------------------------------------------------------------

    @Override
    public void abandon() {
        if (connecting != null) {
            connecting.cancel();
        }
        if (peer != null) {
            peer.close();
        }
    }

    @Override
    public void migrate() {
        moving = true;
        front.relay().deadlines().schedule(front.now() + LINE_END_WITHIN, this::moveNow);
        moveAtLineEnd();
    }

    /** MOVE goes between two lines: a line that has only begun to go out is waited for. */
    private void moveAtLineEnd() {
        if (tap.partial() <= peer.input().size()) {
            peer.input().dropLast(tap.partial());
            tap.lineEnded();
            moveNow();
        } else {
            client.peer().flush();
        }
    }

    private void moveNow() {
        if (!client.peer().isClosed() && moving) {
            moving = false;
            peer.close();
            // a line whose end never came is cut here: MOVE glued to it would not be understood
            client.end(tap.partial() > peer.input().size() ? "\r\nMOVE\r\n" : "MOVE\r\n");
        }
    }
}
