package sandstack.front.amqp;

import java.util.logging.Logger;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.exceptions.EngineStateException;
import org.apache.qpid.protonj2.engine.exceptions.IdleTimeoutException;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import sandstack.core.ConnectionOutcome;
import sandstack.core.DeadlineScheduler;
import sandstack.net.Peer;

/** One AMQP connection: an engine without sockets inside, a socket with its rings outside. */
final class AmqpSocket implements Peer.Listener {
    private static final Logger LOG = Logger.getLogger("sandstack.amqp");
    /** The protocol header that begins a connection: AMQP, a protocol number and three of version. */
    private static final int HEADER = 8;

    private static final int SASL = 3;

    /** Who is told what the connection does; the engine's own handlers tell the rest. */
    interface Owner {
        /** The engine is there and has not begun. */
        default void starting(Engine engine) {}

        /** The engine has begun; its handlers can be set. */
        void started(Connection connection);

        /** The connection is no more. Told once. */
        void ended(ConnectionOutcome how);

        /** All that waited has gone out. */
        void flushed();
    }

    private final AmqpFront front;
    private final Peer peer;
    private final Owner owner;
    private Engine engine;
    private DeadlineScheduler.Deadline tick;
    private boolean heard;
    private boolean over;

    AmqpSocket(AmqpFront front, Peer peer, Owner owner) {
        this.front = front;
        this.peer = peer;
        this.owner = owner;
        peer.setListener(this);
    }

    /** Begins a connection of our own; one that a client begins starts with its header. */
    void start() {
        start(EngineFactory.PROTON.createNonSaslEngine());
    }

    private void start(Engine made) {
        engine = made;
        engine.outputConsumer(buffer -> {
            byte[] bytes = new byte[buffer.getReadableBytes()];
            buffer.readBytes(bytes, 0, bytes.length);
            peer.send(bytes);
        });
        engine.errorHandler(failed -> failed(failed.failureCause()));
        owner.starting(engine);
        owner.started(engine.start());
    }

    private void failed(Throwable cause) {
        // what a peer did is told in a line and never as a fault of ours
        LOG.info(() -> "amqp: connection given up: " + cause.getMessage());
        end(cause instanceof IdleTimeoutException ? ConnectionOutcome.UNRESPONSIVE : ConnectionOutcome.CLOSED_EARLY);
        peer.shutdownOutput();
        linger();
    }

    @Override
    public void onBytesReceived(int count) {
        heard = true;
        if (engine == null) {
            if (peer.input().size() < HEADER) {
                return;
            }
            boolean sasl = peer.input().byteAt(4) == SASL;
            Engine made = sasl ? EngineFactory.PROTON.createEngine() : EngineFactory.PROTON.createNonSaslEngine();
            if (sasl) {
                made.saslDriver().server().setListener(new AnonymousSasl());
            }
            start(made);
        }
        byte[] bytes = peer.input().takeAll();
        if (engine.isWritable()) {
            guarded(() -> engine.ingest(ProtonBufferAllocator.defaultAllocator().copy(bytes)));
        }
    }

    /** Runs what talks to the engine; one that has failed has told its error handler already. */
    void guarded(Runnable work) {
        try {
            work.run();
        } catch (EngineStateException | IllegalStateException e) {
            LOG.fine(() -> "amqp: " + e.getMessage());
            if (engine.isFailed()) {
                return;
            }
            end(ConnectionOutcome.CLOSED_EARLY);
            peer.reset();
        }
    }

    /** Sends heartbeats and watches for the other side's, from now on. */
    void watchIdle() {
        if (over || !engine.isWritable() || !engine.connection().isLocallyOpen()) {
            return;
        }
        guarded(() -> {
            long now = front.now() / 1000;
            long next = engine.tick(now);
            if (next > 0) {
                tick = front.relay().deadlines().schedule(Math.max(next, now + 1) * 1000, this::watchIdle);
            }
        });
    }

    /** Ends the connection with this error, or without one, as the protocol has it. */
    void close(ErrorCondition why) {
        end(null);
        if (engine != null && engine.isWritable() && engine.connection().isLocallyOpen()) {
            guarded(() -> engine.connection().setCondition(why).close());
        }
        peer.shutdownOutput();
        linger();
    }

    /** Ends the connection without a word. */
    void drop() {
        end(null);
        peer.close();
    }

    void reset() {
        end(null);
        peer.reset();
    }

    private void linger() {
        front.lobby().closeAfterLinger(peer);
    }

    private void end(ConnectionOutcome how) {
        if (over) {
            return;
        }
        over = true;
        if (tick != null) {
            tick.cancel();
        }
        if (how != null) {
            owner.ended(how);
        }
    }

    @Override
    public void onFlushed() {
        owner.flushed();
    }

    @Override
    public void onEndOfInput() {
        end(ConnectionOutcome.CLOSED_EARLY);
        peer.shutdownOutput();
        if (peer.isOutputEnded()) {
            peer.close();
        } else {
            linger();
        }
    }

    @Override
    public void onConnectionLost() {
        end(ConnectionOutcome.RESET);
    }

    Peer peer() {
        return peer;
    }

    /** Whether anything has come from the other side. */
    boolean heard() {
        return heard;
    }
}
