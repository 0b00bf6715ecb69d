package sandstack.front.amqp;

import java.util.logging.Logger;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * The connection to the feed server of one attempt, with the link that corresponds to the client's link. Used on the
 * event loop's thread only.
 */
final class AmqpUpstream implements ConnectionAttempt.Upstream, AmqpConnection.Listener, EventLoop.ConnectListener {
    /** How long a closed attempt waits for the feed server's close before it drops the connection. */
    private static final long CLOSE_TIMEOUT_MICROS = 500_000;

    private static final Logger LOG = Logger.getLogger("sandstack.amqp");

    private final AmqpFront front;
    private final AmqpClientSession client;
    private final ConnectionAttempt attempt;
    private EventLoop.PendingConnect connecting;
    private AmqpConnection amqpConnection;
    private Connection protonConnection;
    private Link<?> link;
    private TransferForwarder transferForwarder;
    private Runnable whenClosed;
    private DeadlineScheduler.Deadline closeTimeout;
    private boolean closed;

    AmqpUpstream(AmqpFront front, AmqpClientSession client, ConnectionAttempt attempt) {
        this.front = front;
        this.client = client;
        this.attempt = attempt;
    }

    void start() {
        connecting = front.connect(attempt.endpoint(), this);
    }

    // Before the feed server has attached

    @Override
    public void connected(Peer peer) {
        if (!attempt.onConnected()) {
            peer.close();
            return;
        }
        amqpConnection = new AmqpConnection(front, peer, this);
        amqpConnection.start();
    }

    @Override
    public void failed() {
        closed = true;
        attempt.onEnded(ConnectionOutcome.NOT_CONNECTED);
        notifyClosed();
    }

    /** Opens the connection to the feed server; its open tells how long a frame may be. */
    @Override
    public void onEngineStarted(Connection connection) {
        protonConnection = connection;
        connection.setContainerId(client.protonConnection().getRemoteContainerId());
        connection.setHostname(client.protonConnection().getRemoteHostname());
        connection.setIdleTimeout(AmqpFront.SERVER_IDLE_TIMEOUT_MILLIS);
        connection.setMaxFrameSize(AmqpFront.MAX_FRAME_BYTES);
        connection.setChannelMax(AmqpFront.MAX_SERVER_CHANNEL);
        connection.sessionOpenHandler(s -> onUnexpected("a session"));
        connection.openHandler(c -> amqpConnection.tickIdle());
        connection.closeHandler(c -> onRemoteClosed(c.getRemoteCondition()));
        connection.open();
    }

    /** Attaches the client's link, unless the feed server has begun to drain since the connect. */
    @Override
    public void onRemoteOpened() {
        if (!closed && attempt.onConnected()) {
            attach();
        }
    }

    /** Attaches the client's link at the feed server, with the attempt's remaining time as its deadline. */
    private void attach() {
        Session session = protonConnection.session();
        session.setIncomingCapacity(AmqpFront.SESSION_WINDOW_BYTES);
        session.setHandleMax(AmqpFront.MAX_SERVER_HANDLE);
        session.senderOpenHandler(l -> onUnexpected("a link"));
        session.receiverOpenHandler(l -> onUnexpected("a link"));
        session.closeHandler(s -> onRemoteClosed(s.getRemoteCondition()));
        session.localCloseHandler(s -> amqpConnection.endAfterViolation());
        session.open();
        Link<?> clientLink = client.link();
        link = clientLink.isReceiver() ? session.sender(clientLink.getName()) : session.receiver(clientLink.getName());
        link.setSource(clientLink.getRemoteSource() == null ? new Source() : clientLink.getRemoteSource());
        Target target = clientLink.getRemoteTarget();
        link.setTarget(target == null ? new Target() : target);
        link.setSenderSettleMode(clientLink.getRemoteSenderSettleMode());
        link.setReceiverSettleMode(clientLink.getRemoteReceiverSettleMode());
        link.setProperties(
                AmqpMapping.toUpstreamProperties(clientLink.getRemoteProperties(), attempt.remainingMillis()));
        link.openHandler(l -> onAttached());
        link.closeHandler(l -> onRemoteClosed(l.getRemoteCondition()));
        link.detachHandler(l -> onRemoteClosed(l.getRemoteCondition()));
        link.open();
    }

    /** The feed server has begun a session or attached a link on its own; it may only answer those of the relay. */
    private void onUnexpected(String endpoint) {
        if (closed) {
            return;
        }
        LOG.warning("AMQP feed server opened " + endpoint + " of its own server="
                + attempt.endpoint().entry().serverId());
        amqpConnection.closeAtOnce(new ErrorCondition(AmqpError.NOT_ALLOWED, "one session with one link a connection"));
    }

    private void onAttached() {
        Object terminus = link instanceof Receiver ? link.getRemoteSource() : link.<Target>getRemoteTarget();
        if (attempt.hasEnded() || terminus == null) {
            // an attach without a terminus rejects the link; a detach with the error follows
            return;
        }
        client.amqpConnection().runGuarded(() -> {
            transferForwarder = client.establish(link);
            attempt.onEstablished();
            transferForwarder.start();
        });
    }

    // While the connection is established

    boolean isEstablished() {
        return attempt.isEstablished();
    }

    AmqpConnection amqpConnection() {
        return amqpConnection;
    }

    /** All pending output to the client has been written. Also resumes transfers after a flush to the feed server. */
    void onClientFlushed() {
        if (transferForwarder != null) {
            transferForwarder.onFlushed();
        }
    }

    @Override
    public void onFlushed() {
        if (isRequestSent()) {
            attempt.onRequestWritten();
        }
        onClientFlushed();
    }

    /** Whether the attach, which is the request, has been passed to the connection. */
    private boolean isRequestSent() {
        return link != null;
    }

    /** The feed server has detached or closed; {@code error} is null if it sent no error. */
    private void onRemoteClosed(ErrorCondition error) {
        if (closed) {
            notifyClosed();
            return;
        }
        ConnectionOutcome outcome =
                isRequestSent() ? AmqpMapping.outcome(error, attempt.isEstablished()) : ConnectionOutcome.NOT_CONNECTED;
        boolean wasEstablished = attempt.isEstablished();
        detachAndClose();
        attempt.onEnded(outcome);
        if (wasEstablished) {
            client.close(
                    outcome == ConnectionOutcome.SERVER_DRAINING ? null : error,
                    outcome == ConnectionOutcome.SERVER_DRAINING ? AmqpMapping.migrationError() : null);
        }
    }

    @Override
    public void onEnded(ConnectionOutcome outcome) {
        boolean wasEstablished = attempt.isEstablished();
        closed = true;
        attempt.onEnded(isRequestSent() ? outcome : ConnectionOutcome.NOT_CONNECTED);
        notifyClosed();
        if (wasEstablished) {
            if (outcome == ConnectionOutcome.UNRESPONSIVE || outcome == ConnectionOutcome.SERVER_ERROR) {
                client.close(null, AmqpMapping.migrationError());
            } else {
                client.reset();
            }
        }
    }

    /** The client has detached its link or closed its session or connection. */
    void onClientClosed() {
        attempt.onEnded(ConnectionOutcome.CLIENT_LEFT);
        detachAndClose();
    }

    /** The client's connection has failed. */
    void onClientConnectionLost() {
        attempt.onEnded(ConnectionOutcome.CLIENT_LEFT);
        closed = true;
        amqpConnection.reset();
        notifyClosed();
    }

    // Called by the relay core

    @Override
    public void abandon() {
        detachAndClose();
    }

    @Override
    public void migrate() {
        detachAndClose();
        client.close(null, AmqpMapping.migrationError());
    }

    /** Detaches the link and closes the connection, or cancels a pending connect. No effect if already closed. */
    private void detachAndClose() {
        if (closed) {
            return;
        }
        closed = true;
        if (amqpConnection == null) {
            connecting.cancel();
            notifyClosed();
        } else if (!amqpConnection.hasReceived()) {
            amqpConnection.closeAbruptly();
            notifyClosed();
        } else {
            amqpConnection.runGuarded(() -> {
                if (link != null && link.isLocallyOpen() && !link.isRemotelyClosed()) {
                    link.close();
                }
            });
            amqpConnection.close(null);
            closeTimeout =
                    front.relay().deadlines().schedule(front.nowMicros() + CLOSE_TIMEOUT_MICROS, this::onCloseTimeout);
        }
    }

    /**
     * Runs the callback once the feed server has closed the connection or the close timeout has expired; at once if
     * that has happened already.
     */
    void whenClosed(Runnable callback) {
        if (closed && closeTimeout == null) {
            callback.run();
        } else {
            whenClosed = callback;
        }
    }

    private void onCloseTimeout() {
        amqpConnection.closeAbruptly();
        notifyClosed();
    }

    private void notifyClosed() {
        if (closeTimeout != null) {
            closeTimeout.cancel();
            closeTimeout = null;
        }
        if (whenClosed != null) {
            Runnable callback = whenClosed;
            whenClosed = null;
            callback.run();
        }
    }
}
