package sandstack.front.platform;

import sandstack.core.ClientRequest;
import sandstack.core.Execution;
import sandstack.core.Refusal;
import sandstack.core.Relay;
import sandstack.core.ServiceClient;
import sandstack.net.ConnectionAdmission;
import sandstack.net.Peer;

/** A client's side of the line protocol: its first line, its answer, and the passing of lines after UP. */
final class PlatformClient extends ServiceClient implements Peer.Owner, ConnectionAdmission.Guest {
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
        peer.ownedBy(this);
        front.lobby().enter(peer, this);
    }

    // ---- from the client --------------------------------------------------------------------------

    @Override
    public void received(int count) {
        switch (state) {
            case FIRST_LINE -> readLines();
            case WAITING -> {
                // a client waits for its answer: more behind its line is not one request but several, or none
                relay.clientLeft(this);
                badInput(command());
            }
            case STANDING -> server.passOn();
            case LEAVING -> {}
            default -> throw new IllegalStateException();
        }
    }

    private void readLines() {
        while (state == State.FIRST_LINE) {
            int end = peer.in().indexOf('\n');
            if (end < 0 || end >= LONGEST_LINE) {
                if (end >= 0 || peer.in().size() >= LONGEST_LINE) {
                    badInput(null);
                }
                return;
            }
            String line = peer.in().peek(end + 1);
            peer.in().skip(end + 1);
            if (line.equals("PING\r\n") && peer.waiting() == 0) {
                peer.send("PONG\r\n");
            } else {
                request(line.endsWith("\r\n") ? FirstLine.read(line.substring(0, end - 1)) : null);
            }
        }
        peer.resume();
    }

    private void request(FirstLine line) {
        ClientRequest command = line == null ? null : line.command(relay.terms(), relay.tenants());
        if (command == null || !peer.in().isEmpty() || !front.claim(line.id())) {
            badInput(command);
            return;
        }
        firstLine = line;
        if (!front.lobby().admit(peer)) {
            relay.turnedBack(command, ConnectionAdmission.NO_ROOM);
            nack(ConnectionAdmission.NO_ROOM);
            return;
        }
        state = State.WAITING;
        relay.take(this, command);
    }

    /**
     * Answers input that cannot be read, and counts it as turned back where the command is known.
     *
     * @param asked what the client asked for; null where that is not known
     */
    private void badInput(ClientRequest asked) {
        Refusal nack = new Refusal(Refusal.Kind.BAD_INPUT, 0);
        if (asked != null) {
            relay.turnedBack(asked, nack);
        }
        nack(nack);
    }

    @Override
    public void turnAway() {
        nack(ConnectionAdmission.NO_ROOM);
        peer.close();
    }

    @Override
    public void late() {
        nack(ConnectionAdmission.NO_ROOM);
    }

    @Override
    public void gone() {
        release();
    }

    @Override
    protected void look() {
        if (state == State.WAITING) {
            peer.look();
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
    public void finished() {
        switch (state) {
            case FIRST_LINE -> peer.close();
            case WAITING -> {
                relay.clientLeft(this);
                peer.close();
            }
            case STANDING -> server.clientFinished();
            case LEAVING -> leave();
            default -> throw new IllegalStateException();
        }
    }

    @Override
    public void broken() {
        switch (state) {
            case WAITING -> relay.clientLeft(this);
            case STANDING -> server.clientBroke();
            default -> {}
        }
    }

    @Override
    public void flushed() {
        if (state == State.STANDING) {
            server.roomAgain();
        } else if (state == State.LEAVING && peer.inEnded()) {
            leave();
        }
    }

    // ---- from the relay ---------------------------------------------------------------------------

    @Override
    protected Execution.Wire execute(Execution execution) {
        server = new ServerWire(front, this, execution, firstLine);
        server.start();
        return server;
    }

    @Override
    protected void nack(Refusal nack) {
        end(
                switch (nack.kind()) {
                    case REFUSED -> nack.comeBackMillis() > 0 ? "BUSY " + nack.comeBackMillis() + "\r\n" : "BUSY\r\n";
                    case FAILED, BAD_INPUT -> "ERR\r\n";
                });
    }

    // ---- from the feed server's side --------------------------------------------------------------

    Peer peer() {
        return peer;
    }

    /** From now on lines pass both ways, and the socket writes from the feed server's ring. */
    void stand() {
        state = State.STANDING;
        peer.writeFrom(server.peer());
    }

    /** Says a last word, if any, ends the sending and waits a little for the client to end its own. */
    void end(String lastWord) {
        if (state == State.LEAVING || peer.closed()) {
            return;
        }
        state = State.LEAVING;
        // closed with words of the client's unread, the kernel would send a reset after the answer and the
        // client might never read it
        peer.discard();
        release();
        front.lobby().leave(peer);
        if (lastWord != null) {
            peer.send(lastWord);
        }
        peer.finish();
    }

    void reset() {
        peer.reset();
    }

    private void leave() {
        if (peer.outEnded()) {
            peer.close();
        }
    }
}
