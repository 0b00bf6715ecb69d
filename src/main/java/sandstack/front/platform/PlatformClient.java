package sandstack.front.platform;

import sandstack.core.ClientRequest;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.Rejection;
import sandstack.core.Relay;
import sandstack.net.ConnectionAdmission;
import sandstack.net.Peer;

/** A client's side of the line protocol: its first line, its answer, and the passing of lines after UP. */
final class PlatformClient extends ClientSession implements Peer.Listener, ConnectionAdmission.AcceptedPeer {
    private static final int LONGEST_LINE = 4096;

    /** How far the client has come. */
    private enum State {
        FIRST_LINE,
        WAITING,
        STANDING,
        LEAVING
    }

    private final PlatformFront front;
    private final Relay relay;
    private final Peer peer;
    private State state = State.FIRST_LINE;
    private FirstLine firstLine;
    private ServerWire server;

    PlatformClient(PlatformFront front, Peer peer) {
        this.front = front;
        this.relay = front.relay();
        this.peer = peer;
        peer.setListener(this);
        front.lobby().onAccepted(peer, this);
    }

    // ---- from the client --------------------------------------------------------------------------

    @Override
    public void onBytesReceived(int count) {
        switch (state) {
            case FIRST_LINE -> readLines();
            case WAITING -> {
                // a client waits for its answer: more behind its line is not one request but several, or none
                relay.onClientDisconnected(this);
                badInput(request());
            }
            case STANDING -> server.passOn();
            case LEAVING -> {}
            default -> throw new IllegalStateException();
        }
    }

    private void readLines() {
        while (state == State.FIRST_LINE) {
            int end = peer.input().indexOf('\n');
            if (end < 0 || end >= LONGEST_LINE) {
                if (end >= 0 || peer.input().size() >= LONGEST_LINE) {
                    badInput(null);
                }
                return;
            }
            String line = peer.input().peekText(end + 1);
            peer.input().skip(end + 1);
            if (line.equals("PING\r\n") && peer.pendingBytes() == 0) {
                peer.send("PONG\r\n");
            } else {
                request(line.endsWith("\r\n") ? FirstLine.read(line.substring(0, end - 1)) : null);
            }
        }
        peer.resumeReading();
    }

    private void request(FirstLine line) {
        ClientRequest command = line == null ? null : line.command(relay.effectiveSettings(), relay.tenants());
        if (command == null || !peer.input().isEmpty() || !front.claim(line.id())) {
            badInput(command);
            return;
        }
        firstLine = line;
        if (!front.lobby().admit(peer)) {
            relay.recordRejection(command, ConnectionAdmission.NO_CAPACITY);
            sendRejection(ConnectionAdmission.NO_CAPACITY);
            return;
        }
        state = State.WAITING;
        relay.accept(this, command);
    }

    /**
     * Answers input that cannot be read, and counts it as turned back where the command is known.
     *
     * @param asked what the client asked for; null where that is not known
     */
    private void badInput(ClientRequest asked) {
        Rejection nack = new Rejection(Rejection.Kind.MALFORMED, 0);
        if (asked != null) {
            relay.recordRejection(asked, nack);
        }
        sendRejection(nack);
    }

    @Override
    public void reject() {
        sendRejection(ConnectionAdmission.NO_CAPACITY);
        peer.close();
    }

    @Override
    public void onRequestTimeout() {
        sendRejection(ConnectionAdmission.NO_CAPACITY);
    }

    @Override
    public void onClosed() {
        release();
    }

    @Override
    protected void checkConnected() {
        if (state == State.WAITING) {
            peer.readAvailable();
        }
    }

    /** The request is over: another may have its id. */
    private void release() {
        if (firstLine != null) {
            front.released(firstLine.id());
            firstLine = null;
        }
    }

    @Override
    public void onEndOfInput() {
        switch (state) {
            case FIRST_LINE -> peer.close();
            case WAITING -> {
                relay.onClientDisconnected(this);
                peer.close();
            }
            case STANDING -> server.clientFinished();
            case LEAVING -> leave();
            default -> throw new IllegalStateException();
        }
    }

    @Override
    public void onConnectionLost() {
        switch (state) {
            case WAITING -> relay.onClientDisconnected(this);
            case STANDING -> server.clientBroke();
            default -> {}
        }
    }

    @Override
    public void onFlushed() {
        if (state == State.STANDING) {
            server.roomAgain();
        } else if (state == State.LEAVING && peer.isInputEnded()) {
            leave();
        }
    }

    // ---- from the relay ---------------------------------------------------------------------------

    @Override
    protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt execution) {
        server = new ServerWire(front, this, execution, firstLine);
        server.start();
        return server;
    }

    @Override
    protected void sendRejection(Rejection nack) {
        end(
                switch (nack.kind()) {
                    case REJECTED -> nack.retryAfterMillis() > 0
                            ? "BUSY " + nack.retryAfterMillis() + "\r\n"
                            : "BUSY\r\n";
                    case FAILED, MALFORMED -> "ERR\r\n";
                });
    }

    // ---- from the feed server's side --------------------------------------------------------------

    Peer peer() {
        return peer;
    }

    /** From now on lines pass both ways, and the socket writes from the feed server's ring. */
    void stand() {
        state = State.STANDING;
        peer.writeInputOf(server.peer());
    }

    /** Says a last word, if any, ends the sending and waits a little for the client to end its own. */
    void end(String lastWord) {
        if (state == State.LEAVING || peer.isClosed()) {
            return;
        }
        state = State.LEAVING;
        // closed with words of the client's unread, the kernel would send a reset after the answer and the
        // client might never read it
        peer.discardInput();
        release();
        front.lobby().closeAfterLinger(peer);
        if (lastWord != null) {
            peer.send(lastWord);
        }
        peer.shutdownOutput();
    }

    void reset() {
        peer.reset();
    }

    private void leave() {
        if (peer.isOutputEnded()) {
            peer.close();
        }
    }
}
