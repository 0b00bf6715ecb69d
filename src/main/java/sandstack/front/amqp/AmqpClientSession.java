package sandstack.front.amqp;

import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import sandstack.core.ClientRequest;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.core.Rejection;
import sandstack.net.ConnectionAdmission;
import sandstack.net.Peer;

/**
 * The client side of one AMQP connection, which carries a single link: the client's request. Used on the event loop's
 * thread only.
 */
final class AmqpClientSession extends ClientSession
        implements AmqpConnection.Listener, ConnectionAdmission.AcceptedPeer {
    /** Maximum number of frames before the answer to the request: those of the request, heartbeats and some flows. */
    private static final int MAX_UNANSWERED_FRAMES = 256;
    /** Maximum size of these frames together; enough for each performative of a request to fill a frame. */
    private static final int MAX_UNANSWERED_BYTES = 8 * AmqpFront.MAX_FRAME_BYTES;

    private final AmqpFront front;
    private final AmqpConnection amqpConnection;
    private Connection protonConnection;
    private Session session;
    private Link<?> link;
    private LinkId linkId;
    private final DeliveryTracker tracker;
    private DeliveryTracker earlierDeliveries;
    private UnsettledMapHandler unsettledMaps;
    private AmqpUpstream upstream;
    /** The attempt of an earlier connection with this link that has to be closed first; null if there is none. */
    private AmqpUpstream earlierUpstream;

    /** Whether the client has closed its link, as opposed to detaching it, which only suspends it. */
    private boolean linkClosed;

    private int unansweredFrames;
    private int unansweredBytes;
    private boolean ended;

    AmqpClientSession(AmqpFront front, Peer peer) {
        this.front = front;
        this.tracker = new DeliveryTracker(front.heapBudget());
        this.amqpConnection = new AmqpConnection(front, peer, this);
        front.admission().onAccepted(peer, this);
    }

    @Override
    public void reject() {
        endSession(null);
        amqpConnection.peer().close();
    }

    // Called by the client's connection

    @Override
    public void onEngineCreated() {
        unsettledMaps = new UnsettledMapHandler();
        amqpConnection.insertBeforeEngine("unsettled-maps", unsettledMaps);
    }

    @Override
    public void onEngineStarted(Connection newConnection) {
        protonConnection = newConnection;
        newConnection.setContainerId(front.containerId());
        newConnection.setIdleTimeout(AmqpFront.CLIENT_IDLE_TIMEOUT_MILLIS);
        newConnection.setMaxFrameSize(AmqpFront.MAX_FRAME_BYTES);
        newConnection.setChannelMax(AmqpFront.MAX_CLIENT_CHANNEL);
        newConnection.openHandler(c -> {
            c.open();
            amqpConnection.tickIdle();
        });
        newConnection.sessionOpenHandler(s -> {
            s.setIncomingCapacity(AmqpFront.SESSION_WINDOW_BYTES);
            s.setHandleMax(AmqpFront.MAX_CLIENT_HANDLE);
            if (session == null) {
                session = s;
                s.closeHandler(x -> onClientClosed());
                s.localCloseHandler(x -> amqpConnection.endAfterViolation());
            }
            s.open();
        });
        newConnection.senderOpenHandler(this::onAttached);
        newConnection.receiverOpenHandler(this::onAttached);
        newConnection.closeHandler(c -> onClientClosed());
    }

    /** Until the request is answered, a client has nothing to send but what its request consists of. */
    @Override
    public boolean acceptsFrame(int bytes) {
        if (upstream != null && upstream.isEstablished()) {
            return true;
        }
        unansweredFrames++;
        unansweredBytes += bytes;
        if (ended || (unansweredFrames <= MAX_UNANSWERED_FRAMES && unansweredBytes <= MAX_UNANSWERED_BYTES)) {
            return !ended;
        }
        endSession(ConnectionOutcome.CLOSED_EARLY);
        amqpConnection.closeAndDiscard(
                new ErrorCondition(AmqpError.NOT_ALLOWED, "too much is sent before the request is answered"));
        return false;
    }

    /** Reads what the client has sent, so that no attempt starts for a client that has left. */
    @Override
    protected void checkConnected() {
        if (!ended && (upstream == null || !upstream.isEstablished())) {
            amqpConnection.peer().readAvailable();
        }
    }

    private void onAttached(Link<?> newLink) {
        if (link != null) {
            // one connection carries one request, so further links are rejected
            amqpConnection.detach(newLink, new ErrorCondition(AmqpError.NOT_ALLOWED, "one link a connection"));
            return;
        }
        link = newLink;
        link.closeHandler(l -> {
            linkClosed = true;
            onClientClosed();
        });
        link.detachHandler(l -> onClientClosed());
        ClientRequest request = AmqpMapping.toClientRequest(
                link.getRemoteProperties(),
                front.relay().effectiveSettings(),
                front.relay().tenants());
        if (request == null) {
            sendRejection(new Rejection(Rejection.Kind.MALFORMED, 0));
            return;
        }
        if (!front.admission().admit(amqpConnection.peer())) {
            front.relay().recordRejection(request, ConnectionAdmission.NO_CAPACITY);
            sendRejection(ConnectionAdmission.NO_CAPACITY);
            return;
        }
        linkId = new LinkId(protonConnection.getRemoteContainerId(), link.getName(), link.isReceiver());
        front.relay().accept(this, request);
    }

    /** Waits until the attempt of an earlier connection with this link has been closed. */
    @Override
    protected void prepareAttempts(Runnable whenPrepared) {
        front.claimLink(linkId, this, () -> {
            if (!ended) {
                earlierUpstream = null;
                takeEarlierDeliveries();
                whenPrepared.run();
            }
        });
    }

    /** Called before {@link #prepareAttempts} has called back: whose attempt has to be closed before. */
    void awaitClose(AmqpUpstream earlier) {
        earlierUpstream = earlier;
    }

    private void takeEarlierDeliveries() {
        earlierDeliveries = front.takeUnsettled(linkId, unsettledMaps.clientUnsettled());
        if (earlierDeliveries != null) {
            earlierDeliveries.startCounting();
        }
        unsettledMaps.setEarlierDeliveries(earlierDeliveries);
    }

    /** The client has detached its link, or ended its session or connection. */
    private void onClientClosed() {
        endSession(null);
    }

    @Override
    public void onEnded(ConnectionOutcome outcome) {
        endSession(outcome);
    }

    /** Ends the session, at most once; {@code failure} is null if the client has closed cleanly. */
    private void endSession(ConnectionOutcome failure) {
        if (ended) {
            return;
        }
        boolean clean = failure == null;
        releaseLink(clean);
        if (upstream != null && upstream.isEstablished()) {
            if (clean) {
                upstream.onClientClosed();
            } else {
                upstream.onClientConnectionLost();
            }
        } else {
            front.relay().onClientDisconnected(this);
        }
        if (clean) {
            closeLink(null);
            amqpConnection.closeAndDiscard(null);
        }
    }

    /**
     * Another connection has attached the same link: closes this session, and runs the callback once the feed server
     * has closed the connection of this session's attempt or has not done so in time; at once if there is no attempt.
     */
    void onSuperseded(AmqpClientSession successor, Runnable whenClosed) {
        AmqpUpstream oldUpstream = upstream == null ? earlierUpstream : upstream;
        if (!ended) {
            releaseLink(false);
            front.relay().onClientDisconnected(this);
            closeLink(new ErrorCondition(LinkError.STOLEN, "the link was attached by another connection"));
            amqpConnection.closeAndDiscard(null);
        }
        if (oldUpstream == null) {
            whenClosed.run();
        } else {
            successor.awaitClose(oldUpstream);
            oldUpstream.whenClosed(whenClosed);
        }
    }

    /**
     * Marks the session as ended and releases its link. Keeps unsettled deliveries for the case that the client comes
     * again, unless it has closed the link, which ends the link's state too (AMQP 1.0, section 2.6.4).
     *
     * @param clean whether the client has ended the link, its session or its connection in order, or was told to
     */
    private void releaseLink(boolean clean) {
        ended = true;
        tracker.stopCounting();
        if (earlierDeliveries != null) {
            earlierDeliveries.stopCounting();
            tracker.addEarlier(earlierDeliveries);
        }
        if (clean) {
            tracker.setNamedOnly();
        }
        if (linkId != null) {
            front.releaseLink(linkId, this, linkClosed || tracker.isEmpty() ? null : tracker);
        }
    }

    @Override
    public void onFlushed() {
        if (upstream != null) {
            upstream.onClientFlushed();
        }
    }

    // Called by the relay core

    @Override
    protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt attempt) {
        upstream = new AmqpUpstream(front, this, attempt);
        upstream.start();
        return upstream;
    }

    @Override
    protected void sendRejection(Rejection rejection) {
        releaseLink(true);
        closeLink(AmqpMapping.rejectionError(rejection));
        amqpConnection.closeAndDiscard(null);
    }

    // Called by the upstream connection

    AmqpConnection amqpConnection() {
        return amqpConnection;
    }

    Connection protonConnection() {
        return protonConnection;
    }

    Link<?> link() {
        return link;
    }

    /**
     * The feed server has attached: attaches the client's link too, and returns the forwarder between the two links.
     */
    TransferForwarder establish(Link<?> upstreamLink) {
        link.setSource(upstreamLink.getRemoteSource());
        link.setTarget(upstreamLink.<Target>getRemoteTarget());
        link.setSenderSettleMode(upstreamLink.getRemoteSenderSettleMode());
        link.setReceiverSettleMode(upstreamLink.getRemoteReceiverSettleMode());
        link.setProperties(upstreamLink.getRemoteProperties());
        link.open();
        return link instanceof Receiver receiver
                ? new TransferForwarder(
                        receiver,
                        amqpConnection,
                        (Sender) upstreamLink,
                        upstream.amqpConnection(),
                        tracker,
                        earlierDeliveries)
                : new TransferForwarder(
                        (Receiver) upstreamLink, upstream.amqpConnection(), (Sender) link, amqpConnection, null, null);
    }

    /**
     * Closes the connection. If {@code connectionError} is null, detaches the link with {@code linkError} before;
     * either error may be null for none.
     */
    void close(ErrorCondition linkError, ErrorCondition connectionError) {
        if (ended) {
            return;
        }
        releaseLink(connectionError == null && linkError == null);
        if (connectionError == null) {
            closeLink(linkError);
        }
        amqpConnection.closeAndDiscard(connectionError);
    }

    /** Closes the client's connection with a TCP reset; no effect if the session has ended. */
    void reset() {
        if (!ended) {
            releaseLink(false);
            amqpConnection.reset();
        }
    }

    private void closeLink(ErrorCondition error) {
        if (link != null) {
            amqpConnection.detach(link, error);
        }
    }
}
