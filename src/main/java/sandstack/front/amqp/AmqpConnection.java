package sandstack.front.amqp;

import java.util.logging.Logger;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.exceptions.EngineStateException;
import org.apache.qpid.protonj2.engine.exceptions.IdleTimeoutException;
import org.apache.qpid.protonj2.engine.impl.ProtonConstants;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import sandstack.core.ConnectionOutcome;
import sandstack.core.DeadlineScheduler;
import sandstack.net.Peer;

/**
 * One AMQP connection: moves bytes between a socket and a protocol engine, and maps failures of both to outcomes. Used
 * on the event loop's thread only.
 */
final class AmqpConnection implements Peer.Listener {
    private static final Logger LOG = Logger.getLogger("sandstack.amqp");
    /** Heap that the engine of one connection uses with all sessions and links that it may have. */
    private static final long ENGINE_HEAP_BYTES = 16_000;
    /** Heap for the frame that a connection has to hold while it is received or sent. */
    private static final long FRAME_HEAP_BYTES = Peer.BUFFER_LIMIT_BYTES;
    /** Unsent bytes above which nothing more is forwarded to this connection. */
    private static final int MAX_PENDING_BYTES = 64 * 1024;

    /**
     * Unsent bytes above which no more frames are handled. Forwarding alone stays below, so that the heartbeats of a
     * slow reader are handled.
     */
    private static final int MAX_ANSWERED_BYTES = MAX_PENDING_BYTES + 2 * Peer.BUFFER_LIMIT_BYTES;

    private static final int MICROS_PER_MILLI = 1000;

    /** Receives the events of the connection. Performatives go to the handlers that {@link #onEngineStarted} sets. */
    interface Listener {
        /** The engine has been created and not started; see {@link AmqpConnection#insertBeforeEngine}. */
        default void onEngineCreated() {}

        /** The engine has been started; its handlers can be set. */
        void onEngineStarted(Connection connection);

        /** Called before a frame of this size is handled; returns false if the listener has closed the connection. */
        default boolean acceptsFrame(int bytes) {
            return true;
        }

        /** The frame with the other side's open has been handled: frames of the size that it allows can be sent. */
        default void onRemoteOpened() {}

        /**
         * The connection has failed, or the other side has shut down its output. Called at most once, and not after
         * this side has closed.
         */
        void onEnded(ConnectionOutcome outcome);

        /** All buffered output has been written. */
        void onFlushed();
    }

    private final AmqpFront front;
    private final Peer peer;
    private final Listener listener;
    private Engine engine;
    private DeadlineScheduler.Deadline idleTick;
    private boolean outbound;
    private boolean hasReceived;
    private boolean remoteOpenNotified;
    private boolean paused;
    private boolean ingesting;
    /** Whether frames wait until the answers to earlier ones have been written. */
    private boolean waitingForOutput;
    /** Whether the other side's FIN has been received while frames before it were waiting. */
    private boolean endOfInputDeferred;

    private boolean ended;

    AmqpConnection(AmqpFront front, Peer peer, Listener listener) {
        this.front = front;
        this.peer = peer;
        this.listener = listener;
        peer.setListener(this);
        peer.setProtocolHeapBytes(ENGINE_HEAP_BYTES + FRAME_HEAP_BYTES);
    }

    /** Starts the engine of an outbound connection; the engine of an accepted one starts with the client's header. */
    void start() {
        outbound = true;
        start(EngineFactory.PROTON.createNonSaslEngine());
    }

    private void start(Engine newEngine) {
        engine = newEngine;
        engine.outputConsumer(buffer -> {
            byte[] bytes = new byte[buffer.getReadableBytes()];
            buffer.readBytes(bytes, 0, bytes.length);
            peer.send(bytes);
        });
        engine.errorHandler(failed -> onEngineFailed(failed.failureCause()));
        insertBeforeEngine("retained-performatives", new RetainedPerformatives(peer::countProtocolHeap));
        listener.onEngineCreated();
        Connection connection = engine.start();
        connection.localCloseHandler(c -> onLocallyClosed());
        listener.onEngineStarted(connection);
    }

    /** The engine closes the connection by itself if the other side exceeds the maximum channel or handle. */
    private void onLocallyClosed() {
        if (!ended) {
            endAfterViolation();
        }
    }

    /** Ends the connection because the other side has broken the protocol; the engine has sent or sends the error. */
    void endAfterViolation() {
        notifyEnded(ConnectionOutcome.SERVER_ERROR);
        discardAndClose();
    }

    /** Ends the connection after a failure; a client may have its answer unread, a feed server waits for none. */
    private void discardAndClose() {
        peer.discardInput();
        peer.shutdownOutput();
        if (outbound) {
            peer.close();
        } else {
            closeAfterLinger();
        }
    }

    /**
     * Inserts a handler between the wire and the engine's performative handler, which does not pass on what it reads.
     */
    void insertBeforeEngine(String name, EngineHandler handler) {
        EngineHandler performatives = engine.pipeline().first();
        engine.pipeline()
                .removeFirst()
                .addFirst(name, handler)
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
    }

    private void onEngineFailed(Throwable cause) {
        // logged in one line at INFO: a protocol error of the peer is not a fault of the relay
        LOG.info(() -> "AMQP connection failed cause=\"" + cause.getMessage() + "\"");
        notifyEnded(
                cause instanceof IdleTimeoutException
                        ? ConnectionOutcome.UNRESPONSIVE
                        : ConnectionOutcome.CLOSED_EARLY);
        discardAndClose();
    }

    @Override
    public void onBytesReceived(int count) {
        hasReceived = true;
        if (!peer.deferInput()) {
            onInputSlice();
        }
    }

    @Override
    public void onInputSlice() {
        if (engine == null) {
            if (peer.input().size() < FrameScanner.PROTOCOL_HEADER_BYTES) {
                return;
            }
            start(AcceptedEngine.forHeader(peer.input()));
            ingest(FrameScanner.PROTOCOL_HEADER_BYTES);
        }
        ingestFrames();
    }

    /**
     * Passes the complete frames to the engine, one at a time, until reading is paused, the time of the slice is used
     * up or the answers to earlier frames wait for the other side to read. An incomplete one stays in the input buffer,
     * whose size is limited and counted, because the engine would keep its parts until the rest arrives.
     */
    private void ingestFrames() {
        if (ingesting) {
            return;
        }
        ingesting = true;
        boolean sliceOver = false;
        while (!sliceOver && mayIngest() && firstFrameBytes() > 0) {
            ingest(firstFrameBytes());
            sliceOver = peer.isSliceOver();
        }
        ingesting = false;
        waitingForOutput = isAnswerBacklogFull();
        if (endOfInputDeferred && !isInputHeld()) {
            endOfInputDeferred = false;
            onEndOfInput();
        }
    }

    private boolean mayIngest() {
        return !paused && !peer.isClosed() && !isAnswerBacklogFull();
    }

    private boolean isAnswerBacklogFull() {
        return peer.pendingBytes() > (peer.isHeapShort() ? Peer.BUFFER_LIMIT_BYTES : MAX_ANSWERED_BYTES);
    }

    private int firstFrameBytes() {
        return FrameScanner.firstFrameBytes(peer.input(), AmqpFront.MAX_FRAME_BYTES);
    }

    /** Whether frames that have been received wait before they are passed to the engine. */
    private boolean isInputHeld() {
        return paused || waitingForOutput || peer.isInputWaiting();
    }

    /** Stops reading, and passes nothing more to the engine until {@link #resumeReading}. */
    void pauseReading() {
        paused = true;
        peer.pauseReading();
    }

    /** Reads again after {@link #pauseReading}, beginning with what has been received. */
    void resumeReading() {
        if (paused) {
            paused = false;
            if (!peer.deferInput()) {
                ingestFrames();
            }
        }
        if (!paused) {
            peer.resumeReading();
        }
    }

    /** Whether so much output is unsent that nothing more should be forwarded; any if the heap is short. */
    boolean isOutputFull() {
        return peer.pendingBytes() > (peer.isHeapShort() ? 0 : MAX_PENDING_BYTES);
    }

    private void ingest(int count) {
        byte[] bytes =
                peer.input().take(engine.isWritable() ? count : peer.input().size());
        if (engine.isWritable() && listener.acceptsFrame(count)) {
            long heapBytesBefore = peer.protocolHeapBytes();
            runGuarded(
                    () -> engine.ingest(ProtonBufferAllocator.defaultAllocator().copy(bytes)));
            SymbolCache.trim();
            notifyRemoteOpened();
            if (peer.protocolHeapBytes() > heapBytesBefore) {
                endIfHeapIsShort();
            }
        }
    }

    private void notifyRemoteOpened() {
        if (!remoteOpenNotified && engine.connection().isRemotelyOpen()) {
            remoteOpenNotified = true;
            runGuarded(listener::onRemoteOpened);
        }
    }

    /** Ends the connection if the engine keeps more than the heap has room for, after all that can be reclaimed. */
    private void endIfHeapIsShort() {
        peer.reclaimHeap();
        if (peer.isHeapShort() && !peer.isClosed() && !ended) {
            LOG.warning("AMQP connection ended, heap budget exceeded bytes=" + peer.protocolHeapBytes());
            notifyEnded(ConnectionOutcome.CLOSED_EARLY);
            closeAndDiscard(new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, "no memory is left for this"));
        }
    }

    /** Runs a task that calls the engine, and handles the engine's exceptions. */
    void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (EngineStateException | IllegalStateException e) {
            LOG.fine(() -> "AMQP engine call failed cause=\"" + e.getMessage() + "\"");
            if (engine.isFailed()) {
                // the engine has already notified its error handler
                return;
            }
            notifyEnded(ConnectionOutcome.CLOSED_EARLY);
            peer.reset();
        }
    }

    /** Sends a heartbeat if one is due, checks the other side's idle timeout, and schedules its next call. */
    void tickIdle() {
        if (ended || !engine.isWritable() || !engine.connection().isLocallyOpen()) {
            return;
        }
        runGuarded(() -> {
            long nowMillis = front.nowMicros() / MICROS_PER_MILLI;
            long nextMillis = engine.tick(nowMillis);
            if (nextMillis > 0) {
                idleTick = front.relay()
                        .deadlines()
                        .schedule(Math.max(nextMillis, nowMillis + 1) * MICROS_PER_MILLI, this::tickIdle);
            }
        });
    }

    /**
     * Closes the connection with this error, if not null, and keeps the socket open until the other side closes or the
     * linger time ends.
     */
    void close(ErrorCondition error) {
        notifyEnded(null);
        if (engine != null && engine.isWritable() && engine.connection().isLocallyOpen()) {
            runGuarded(() -> engine.connection().setCondition(error).close());
        }
        peer.shutdownOutput();
        closeAfterLinger();
    }

    /** Like {@link #close}, but what the other side sends from now on is neither parsed nor kept. */
    void closeAndDiscard(ErrorCondition error) {
        close(error);
        peer.discardInput();
    }

    /**
     * Detaches a link. A link that has not been attached is attached first, without termini: AMQP rejects a link by an
     * attach without termini and a detach with the error. No effect if the connection is not open.
     *
     * @param error null for none
     */
    void detach(Link<?> link, ErrorCondition error) {
        if (!engine.connection().isLocallyOpen() || engine.connection().isRemotelyClosed()) {
            return;
        }
        runGuarded(() -> {
            if (!link.isLocallyOpen() && !link.isLocallyClosed()) {
                link.open();
            }
            if (link.isLocallyOpen()) {
                link.setCondition(error);
                link.close();
            }
        });
    }

    /** Reports a violation of the protocol to the listener, sends this error, and closes the socket at once. */
    void closeAtOnce(ErrorCondition error) {
        notifyEnded(ConnectionOutcome.SERVER_ERROR);
        close(error);
        peer.close();
    }

    /** Closes the socket at once, without a close performative. */
    void closeAbruptly() {
        notifyEnded(null);
        peer.close();
    }

    /** Closes the socket with a TCP reset. */
    void reset() {
        notifyEnded(null);
        peer.reset();
    }

    private void closeAfterLinger() {
        front.admission().closeAfterLinger(peer);
    }

    private void notifyEnded(ConnectionOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        if (idleTick != null) {
            idleTick.cancel();
        }
        if (outcome != null) {
            listener.onEnded(outcome);
        }
    }

    @Override
    public void onFlushed() {
        if (waitingForOutput) {
            waitingForOutput = false;
            peer.processInputLater();
        }
        listener.onFlushed();
    }

    @Override
    public void onEndOfInput() {
        if (isInputHeld() && !ended) {
            endOfInputDeferred = true;
            return;
        }
        notifyEnded(ConnectionOutcome.CLOSED_EARLY);
        peer.shutdownOutput();
        if (peer.isOutputEnded()) {
            peer.close();
        } else {
            closeAfterLinger();
        }
    }

    @Override
    public void onConnectionLost() {
        notifyEnded(ConnectionOutcome.RESET);
    }

    Peer peer() {
        return peer;
    }

    /** Whether any byte has been received. */
    boolean hasReceived() {
        return hasReceived;
    }
}
