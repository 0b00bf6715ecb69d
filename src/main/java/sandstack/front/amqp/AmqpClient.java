package sandstack.front.amqp;

import java.util.Map;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.IncomingAMQPEnvelope;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.OutgoingAMQPEnvelope;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.impl.ProtonConstants;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.Attach;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import sandstack.core.ClientRequest;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.ConnectionOutcome;
import sandstack.core.Rejection;
import sandstack.net.ConnectionAdmission;
import sandstack.net.Peer;

/** A client's side of AMQP: one connection with its one link is one request. */
final class AmqpClient extends ClientSession implements AmqpSocket.Owner, ConnectionAdmission.AcceptedPeer {
    private final AmqpFront front;
    private final AmqpSocket socket;
    private Connection connection;
    private Session session;
    private Link<?> link;
    private LinkId id;
    private final Deliveries deliveries = new Deliveries();
    private Deliveries before;
    private Map<Binary, DeliveryState> clientsUnsettled;
    private AmqpServer server;
    private boolean over;

    AmqpClient(AmqpFront front, Peer peer) {
        this.front = front;
        this.socket = new AmqpSocket(front, peer, this);
        front.lobby().onAccepted(peer, this);
    }

    @Override
    public void reject() {
        leave(null);
        socket.peer().close();
    }

    // ---- from the client --------------------------------------------------------------------------

    /** The engine's own handler of performatives comes first and tells nobody: ours goes between it and the wire. */
    @Override
    public void starting(Engine engine) {
        EngineHandler performatives = engine.pipeline().first();
        engine.pipeline()
                .removeFirst()
                .addFirst("resuming", new Resuming())
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
    }

    @Override
    public void started(Connection made) {
        connection = made;
        made.setContainerId(front.container());
        made.setIdleTimeout(AmqpFront.CLIENT_IDLE_MILLIS);
        made.setMaxFrameSize(AmqpFront.FRAME);
        made.openHandler(c -> {
            c.open();
            socket.watchIdle();
        });
        made.sessionOpenHandler(s -> {
            s.setIncomingCapacity(AmqpFront.WINDOW);
            if (session == null) {
                session = s;
                s.closeHandler(x -> left());
            }
            s.open();
        });
        made.senderOpenHandler(this::attached);
        made.receiverOpenHandler(this::attached);
        made.closeHandler(c -> left());
    }

    private void attached(Link<?> attached) {
        if (link != null) {
            // one connection is one request: what else it attaches is turned away and does no harm
            refuse(attached, new ErrorCondition(AmqpError.NOT_ALLOWED, "one link a connection"));
            return;
        }
        link = attached;
        link.closeHandler(l -> left());
        link.detachHandler(l -> left());
        ClientRequest command = Words.command(
                link.getRemoteProperties(),
                front.relay().effectiveSettings(),
                front.relay().tenants());
        if (command == null) {
            sendRejection(new Rejection(Rejection.Kind.MALFORMED, 0));
            return;
        }
        if (!front.lobby().admit(socket.peer())) {
            front.relay().recordRejection(command, ConnectionAdmission.NO_CAPACITY);
            sendRejection(ConnectionAdmission.NO_CAPACITY);
            return;
        }
        id = new LinkId(connection.getRemoteContainerId(), link.getName(), link.isReceiver());
        front.claim(id, this, () -> {
            if (!over) {
                before = front.remembered(id, clientsUnsettled);
                front.relay().accept(this, command);
            }
        });
    }

    /** The client has detached, closed or gone. */
    private void left() {
        leave(null);
    }

    @Override
    public void ended(ConnectionOutcome how) {
        leave(how);
    }

    private void leave(ConnectionOutcome broken) {
        if (over) {
            return;
        }
        boolean clean = broken == null;
        finish(clean);
        if (server != null && server.standing()) {
            server.clientLeft(clean);
        } else {
            front.relay().onClientDisconnected(this);
        }
        if (clean) {
            closeLink(null);
            socket.close(null);
        }
    }

    /** Another connection of the same client and link has come: this one is over before that one starts. */
    void superseded(Runnable whenOver) {
        AmqpServer old = server;
        if (!over) {
            finish(false);
            front.relay().onClientDisconnected(this);
            closeLink(new ErrorCondition(LinkError.STOLEN, "the link was attached by another connection"));
            socket.close(null);
        }
        if (old == null) {
            whenOver.run();
        } else {
            old.whenOver(whenOver);
        }
    }

    private void finish(boolean clean) {
        over = true;
        if (id != null) {
            front.released(id, this, clean || deliveries.isEmpty() ? null : deliveries);
        }
    }

    @Override
    public void flushed() {
        if (server != null) {
            server.roomAgain();
        }
    }

    // ---- from the relay ---------------------------------------------------------------------------

    @Override
    protected ConnectionAttempt.Upstream startAttempt(ConnectionAttempt execution) {
        server = new AmqpServer(front, this, execution);
        server.start();
        return server;
    }

    @Override
    protected void sendRejection(Rejection nack) {
        finish(true);
        closeLink(Words.error(nack));
        socket.close(null);
    }

    // ---- from the feed server's side --------------------------------------------------------------

    AmqpSocket socket() {
        return socket;
    }

    Connection connection() {
        return connection;
    }

    Link<?> link() {
        return link;
    }

    /** The feed server has attached: so does the relay, and transfers pass. */
    Pipe stand(Link<?> served) {
        link.setSource(served.getRemoteSource());
        link.setTarget(served.<Target>getRemoteTarget());
        link.setSenderSettleMode(served.getRemoteSenderSettleMode());
        link.setReceiverSettleMode(served.getRemoteReceiverSettleMode());
        link.setProperties(served.getRemoteProperties());
        link.open();
        return link instanceof Receiver receiver
                ? new Pipe(receiver, socket, (Sender) served, server.socket(), deliveries, before)
                : new Pipe((Receiver) served, server.socket(), (Sender) link, socket, null, null);
    }

    /** Ends the client's side: its link with this error, if any, or its whole connection. */
    void end(ErrorCondition linkError, ErrorCondition connectionError) {
        if (over) {
            return;
        }
        finish(connectionError == null && linkError == null);
        if (connectionError == null) {
            closeLink(linkError);
        }
        socket.close(connectionError);
    }

    void reset() {
        if (!over) {
            finish(false);
            socket.reset();
        }
    }

    private void closeLink(ErrorCondition error) {
        if (link != null) {
            refuse(link, error);
        }
    }

    /** A refused link is attached first, with nothing at its ends, as the protocol has it. */
    private void refuse(Link<?> refused, ErrorCondition error) {
        if (!connection.isLocallyOpen() || connection.isRemotelyClosed()) {
            return;
        }
        socket.guarded(() -> {
            if (!refused.isLocallyOpen() && !refused.isLocallyClosed()) {
                refused.open();
            }
            if (refused.isLocallyOpen()) {
                refused.setCondition(error);
                refused.close();
            }
        });
    }

    /**
     * The part of an attach that the engine does not show: which deliveries the client still holds, and in
     * the answer, what became of them.
     */
    private final class Resuming implements EngineHandler {
        @Override
        public void handleRead(EngineHandlerContext context, IncomingAMQPEnvelope envelope) {
            if (envelope.getBody() instanceof Attach attach && attach.getUnsettled() != null) {
                clientsUnsettled = attach.getUnsettled();
            }
            context.fireRead(envelope);
        }

        @Override
        public void handleWrite(EngineHandlerContext context, OutgoingAMQPEnvelope envelope) {
            if (envelope.getBody() instanceof Attach attach && before != null && !before.isEmpty()) {
                attach.setUnsettled(before.unsettled());
            }
            context.fireWrite(envelope);
        }
    }
}
