package sandstack.front.platform;

import sandstack.core.ClientRequest;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.Rejection;
import sandstack.core.Relay;
import sandstack.net.ConnectionAdmission;
import sandstack.net.Peer;

/**
 * The client side of one connection of the line protocol: reads the request, writes the answer and, once established,
 * forwards lines to its {@link UpstreamConnection}. Used on the event loop's thread only.
 */
final class PlatformClientSession extends ClientSession implements Peer.Listener, ConnectionAdmission.AcceptedPeer {
    /** Progress of the client's connection, which passes these states in order and may skip some. */
    private enum State {
        AWAITING_REQUEST,
        AWAITING_SERVER,
        ESTABLISHED,
        CLOSING
    }

    private final PlatformFront front;
    private final Relay relay;
    private final Peer peer;
    private State state = State.AWAITING_REQUEST;
    private OpenRequest openRequest;
    private UpstreamConnection upstream;

    PlatformClientSession(PlatformFront front, Peer peer) {
        this.front = front;
        this.relay = front.relay();
        this.peer = peer;
        peer.setListener(this);
        front.admission().onAccepted(peer, this);
    }

    // Called by the client's socket and by the connection admission

    @Override
    public void onBytesReceived(int count) {
        switch (state) {
            case AWAITING_REQUEST -> {
                if (!peer.deferInput()) {
                    readLines();
                }
            }
            case AWAITING_SERVER -> {
                // input after the request line and before the answer is a protocol error
                relay.onClientDisconnected(this);
                rejectMalformed(request());
            }
            case ESTABLISHED -> upstream.forwardClientBytes();
            case CLOSING -> {}
            default -> throw new IllegalStateException();
        }
    }

    @Override
    public void onInputSlice() {
        readLines();
    }

    private void readLines() {
        while (state == State.AWAITING_REQUEST && !peer.isClosed()) {
            int end = peer.input().indexOf('\n');
            if (end < 0 || end >= PlatformProtocol.MAX_LINE_BYTES) {
                if (end >= 0 || peer.input().size() >= PlatformProtocol.MAX_LINE_BYTES) {
                    rejectMalformed(null);
                }
                return;
            }
            String line = peer.input().peekText(end + 1);
            peer.input().skip(end + 1);
            if (line.equals(PlatformProtocol.PING_LINE) && peer.pendingBytes() == 0) {
                peer.send(PlatformProtocol.PONG_LINE);
                if (peer.isSliceOver()) {
                    break;
                }
            } else {
                onRequestLine(
                        line.endsWith(PlatformProtocol.LINE_END)
                                ? OpenRequest.parse(line.substring(0, end - 1))
                                : null);
            }
        }
        peer.resumeReading();
    }

    private void onRequestLine(OpenRequest parsed) {
        ClientRequest request =
                parsed == null ? null : parsed.toClientRequest(relay.effectiveSettings(), relay.tenants());
        if (request == null || !peer.input().isEmpty() || !front.claimRequestId(parsed.id())) {
            rejectMalformed(request);
            return;
        }
        openRequest = parsed;
        peer.countProtocolHeap(parsed.heapBytes());
        if (!front.admission().admit(peer)) {
            relay.recordRejection(request, ConnectionAdmission.NO_CAPACITY);
            sendRejection(ConnectionAdmission.NO_CAPACITY);
            return;
        }
        state = State.AWAITING_SERVER;
        relay.accept(this, request);
    }

    /**
     * Rejects malformed input, and records the rejection if the request itself could be parsed.
     *
     * @param request the client's request; null if it could not be parsed
     */
    private void rejectMalformed(ClientRequest request) {
        Rejection rejection = new Rejection(Rejection.Kind.MALFORMED, 0);
        if (request != null) {
            relay.recordRejection(request, rejection);
        }
        sendRejection(rejection);
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
    public void onShutdown() {
        if (state == State.ESTABLISHED) {
            upstream.migrateHalfClosed();
        }
    }

    @Override
    public void onClosed() {
        releaseRequestId();
    }

    @Override
    protected void checkConnected() {
        if (state == State.AWAITING_SERVER) {
            peer.readAvailable();
        }
    }

    /** Releases the id of the request, if any, so that another connection may use it. */
    private void releaseRequestId() {
        if (openRequest != null) {
            front.releaseRequestId(openRequest.id());
            openRequest = null;
        }
    }

    @Override
    public void onEndOfInput() {
        switch (state) {
            case AWAITING_REQUEST -> peer.close();
            case AWAITING_SERVER -> {
                relay.onClientDisconnected(this);
                peer.close();
            }
            case ESTABLISHED -> upstream.onClientEndOfInput();
            case CLOSING -> closeIfOutputEnded();
            default -> throw new IllegalStateException();
        }
    }

    @Override
    public void onConnectionLost() {
        switch (state) {
            case AWAITING_SERVER -> relay.onClientDisconnected(this);
            case ESTABLISHED -> upstream.onClientConnectionLost();
            default -> {}
        }
    }

    @Override
    public void onFlushed() {
        if (state == State.ESTABLISHED) {
            upstream.onClientFlushed();
        } else if (state == State.CLOSING && peer.isInputEnded()) {
            closeIfOutputEnded();
        }
    }

    // Called by the relay core

    @Override
    protected String requestId() {
        return openRequest == null ? null : openRequest.id();
    }

    @Override
    protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt) {
        upstream = new UpstreamConnection(front, this, attempt, openRequest);
        upstream.start();
        return upstream;
    }

    @Override
    protected void sendRejection(Rejection rejection) {
        closeAfterLastLine(
                switch (rejection.kind()) {
                    case REJECTED -> rejection.retryAfterMillis() > 0
                            ? PlatformProtocol.BUSY + " " + rejection.retryAfterMillis() + PlatformProtocol.LINE_END
                            : PlatformProtocol.BUSY + PlatformProtocol.LINE_END;
                    case FAILED, MALFORMED -> PlatformProtocol.ERR + PlatformProtocol.LINE_END;
                });
    }

    // Called by the upstream connection

    Peer peer() {
        return peer;
    }

    /**
     * The feed server has accepted the request: from now on the client's socket sends what the upstream's input buffer
     * holds.
     */
    void onEstablished() {
        state = State.ESTABLISHED;
        peer.writeInputOf(upstream.peer());
    }

    /**
     * Sends the last line, if not null, shuts down the output, and keeps the socket open until the client closes or the
     * linger time ends.
     */
    void closeAfterLastLine(String lastLine) {
        if (state == State.CLOSING || peer.isClosed()) {
            return;
        }
        state = State.CLOSING;
        // closing a socket with unread input makes the kernel send a RST, which can overtake the answer
        peer.discardInput();
        releaseRequestId();
        front.admission().closeAfterLinger(peer);
        if (lastLine != null) {
            peer.send(lastLine);
        }
        peer.shutdownOutput();
    }

    void reset() {
        peer.reset();
    }

    private void closeIfOutputEnded() {
        if (peer.isOutputEnded()) {
            peer.close();
        }
    }
}
