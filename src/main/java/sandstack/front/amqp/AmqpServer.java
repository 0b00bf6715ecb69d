package sandstack.front.amqp;

import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/** The way to the feed server of one execution: its connection and the link that answers the client's. */
final class AmqpServer implements ConnectionAttempt.Upstream, AmqpSocket.Owner, EventLoop.ConnectListener {
    /** An execution that gives way to the same client's next one waits so long for the feed server's close. */
    private static final long OVER_WITHIN = 500_000;

    private final AmqpFront front;
    private final AmqpClient client;
    private final ConnectionAttempt execution;
    private EventLoop.PendingConnect connecting;
    private AmqpSocket socket;
    private Link<?> link;
    private Pipe pipe;
    private Runnable whenOver;
    private DeadlineScheduler.Deadline overLate;
    private boolean closed;

    AmqpServer(AmqpFront front, AmqpClient client, ConnectionAttempt execution) {
        this.front = front;
        this.client = client;
        this.execution = execution;
    }

    void start() {
        connecting = front.connect(execution.endpoint(), this);
    }

    // ---- before the attach ------------------------------------------------------------------------

    @Override
    public void connected(Peer peer) {
        if (!execution.onConnected()) {
            peer.close();
            return;
        }
        socket = new AmqpSocket(front, peer, this);
        socket.start();
    }

    @Override
    public void failed() {
        execution.onEnded(ConnectionOutcome.NOT_CONNECTED);
        over();
    }

    /** The client's link again, with the time that the relay will wait. */
    @Override
    public void started(Connection connection) {
        Link<?> asked = client.link();
        connection.setContainerId(client.connection().getRemoteContainerId());
        connection.setHostname(client.connection().getRemoteHostname());
        connection.setIdleTimeout(AmqpFront.SERVER_IDLE_MILLIS);
        connection.setMaxFrameSize(AmqpFront.FRAME);
        connection.openHandler(c -> socket.watchIdle());
        connection.closeHandler(c -> closed(c.getRemoteCondition()));
        connection.open();
        Session session = connection.session();
        session.setIncomingCapacity(AmqpFront.WINDOW);
        session.closeHandler(s -> closed(s.getRemoteCondition()));
        session.open();
        link = asked.isReceiver() ? session.sender(asked.getName()) : session.receiver(asked.getName());
        link.setSource(asked.getRemoteSource() == null ? new Source() : asked.getRemoteSource());
        Target target = asked.getRemoteTarget();
        link.setTarget(target == null ? new Target() : target);
        link.setSenderSettleMode(asked.getRemoteSenderSettleMode());
        link.setReceiverSettleMode(asked.getRemoteReceiverSettleMode());
        link.setProperties(Words.toServer(asked.getRemoteProperties(), execution.remainingMillis()));
        link.openHandler(l -> attached());
        link.closeHandler(l -> closed(l.getRemoteCondition()));
        link.detachHandler(l -> closed(l.getRemoteCondition()));
        link.open();
    }

    private void attached() {
        Object end = link instanceof Receiver ? link.getRemoteSource() : link.<Target>getRemoteTarget();
        if (execution.hasEnded() || end == null) {
            // with nothing at its end the attach is a refusal, and the detach that says why follows
            return;
        }
        client.socket().guarded(() -> {
            pipe = client.stand(link);
            execution.onEstablished();
            pipe.start();
        });
    }

    // ---- while it stands --------------------------------------------------------------------------

    boolean standing() {
        return execution.isEstablished();
    }

    AmqpSocket socket() {
        return socket;
    }

    void roomAgain() {
        if (pipe != null) {
            pipe.roomAgain();
        }
    }

    @Override
    public void flushed() {
        if (link != null && socket.heard()) {
            execution.onRequestWritten();
        }
        roomAgain();
    }

    /** The feed server has detached or closed, with or without an error. */
    private void closed(ErrorCondition error) {
        if (closed) {
            over();
            return;
        }
        ConnectionOutcome ending = Words.ending(error, execution.isEstablished());
        boolean stood = execution.isEstablished();
        shut();
        execution.onEnded(ending);
        if (stood) {
            client.end(
                    ending == ConnectionOutcome.SERVER_DRAINING ? null : error,
                    ending == ConnectionOutcome.SERVER_DRAINING ? Words.move() : null);
        }
    }

    /** The connection to the feed server is no more. */
    @Override
    public void ended(ConnectionOutcome how) {
        boolean stood = execution.isEstablished();
        closed = true;
        // until the feed server has sent its header, the attach has not been written
        execution.onEnded(stood || socket.heard() ? how : ConnectionOutcome.NOT_CONNECTED);
        over();
        if (stood) {
            if (how == ConnectionOutcome.UNRESPONSIVE) {
                client.end(null, Words.move());
            } else {
                client.reset();
            }
        }
    }

    /** The client is gone: cleanly, or with its connection broken. */
    void clientLeft(boolean clean) {
        execution.onEnded(ConnectionOutcome.CLIENT_LEFT);
        if (clean) {
            shut();
        } else {
            closed = true;
            socket.reset();
            over();
        }
    }

    // ---- from the relay ---------------------------------------------------------------------------

    @Override
    public void abandon() {
        shut();
    }

    @Override
    public void migrate() {
        shut();
        client.end(null, Words.move());
    }

    /** Detaches and closes, so that no ghost of the link is left; a connection not yet up is called off. */
    private void shut() {
        if (closed) {
            return;
        }
        closed = true;
        if (socket == null) {
            connecting.cancel();
            over();
        } else if (!socket.heard()) {
            socket.drop();
            over();
        } else {
            socket.guarded(() -> {
                if (link != null && link.isLocallyOpen() && !link.isRemotelyClosed()) {
                    link.close();
                }
            });
            socket.close(null);
            overLate = front.relay().deadlines().schedule(front.now() + OVER_WITHIN, this::cut);
        }
    }

    /** Calls back when nothing of this execution is left at its feed server. */
    void whenOver(Runnable told) {
        if (closed && overLate == null) {
            told.run();
        } else {
            whenOver = told;
        }
    }

    private void cut() {
        socket.drop();
        over();
    }

    private void over() {
        if (overLate != null) {
            overLate.cancel();
            overLate = null;
        }
        if (whenOver != null) {
            Runnable told = whenOver;
            whenOver = null;
            told.run();
        }
    }
}
