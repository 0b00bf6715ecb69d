package sandstack.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A non-blocking socket to a client or feed server, with a buffer for each direction. Input is reported to the
 * {@link Listener}; output is written immediately or as soon as the socket accepts it. While the input buffer is full,
 * nothing is read. Used on the event loop's thread only.
 */
public final class Peer {
    /** Capacity of the buffer of each direction; reading stops while the input buffer is full. */
    public static final int BUFFER_LIMIT_BYTES = 16 * 1024;

    private static final Logger LOG = Logger.getLogger("sandstack.net");
    private static final Attribute<Peer> PEER_OF_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(Peer.class.getName());

    /** Receives the events of a socket, on the event loop's thread. */
    public interface Listener {
        /** Called when {@code count} bytes have been appended to {@link Peer#input}. */
        void onBytesReceived(int count);

        /** Called when input that {@link Peer#deferInput} has made wait is to be processed. */
        default void onInputSlice() {}

        /** Called after each flush that leaves no output to write. */
        void onFlushed();

        /** Called when the peer has shut down its output; unconsumed bytes are still in {@link Peer#input}. */
        void onEndOfInput();

        /** Called when the connection has failed; the socket is closed already. */
        void onConnectionLost();
    }

    private final NIOConnection connection;
    private final SocketChannel channel;
    private final WritableByteChannel outputChannel;
    private final EventLoop loop;
    private final PeerBuffers buffers;
    /** Heap that this socket and its protocol's state use, without the buffers. */
    private long idleHeapBytes = DescriptorBudget.SOCKET_BYTES;
    /** Heap that the protocol's state uses beyond {@link #idleHeapBytes}. */
    private long protocolHeapBytes;

    private Listener listener;
    private boolean readingPaused;
    private boolean readInterestSet = true;
    private boolean outputShutdownRequested;
    private boolean outputEnded;
    private boolean discardingInput;
    private ConnectionAdmission admission;
    private boolean inputEnded;
    private boolean endOfInputReported;
    /** Whether input that has waited is being processed. */
    private boolean processingDeferred;

    private boolean writeFailed;
    private boolean closed;

    Peer(Connection<?> connection, EventLoop loop) {
        this.connection = (NIOConnection) connection;
        this.channel = (SocketChannel) this.connection.getChannel();
        this.outputChannel = loop.outputChannel(channel);
        this.loop = loop;
        buffers = new PeerBuffers(BUFFER_LIMIT_BYTES, loop.heapBudget());
        PEER_OF_CONNECTION.set(connection, this);
    }

    static Peer of(Connection<?> connection) {
        return PEER_OF_CONNECTION.get(connection);
    }

    /** Sets the listener for all later events; has to be called before the first event. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Sets the heap that the protocol's state of this socket uses; has to be called before the socket is passed to a
     * {@link ConnectionAdmission}.
     */
    public void setProtocolHeapBytes(long bytes) {
        idleHeapBytes = DescriptorBudget.SOCKET_BYTES + bytes;
    }

    /**
     * Counts a change of the heap that the protocol's state of this socket uses beyond what it needs while idle; no
     * effect on a closed socket.
     */
    public void countProtocolHeap(long deltaBytes) {
        if (!closed) {
            protocolHeapBytes += deltaBytes;
            loop.heapBudget().add(deltaBytes);
        }
    }

    /** The heap that {@link #countProtocolHeap} has counted, in bytes. */
    public long protocolHeapBytes() {
        return protocolHeapBytes;
    }

    /** The heap that this socket uses while its buffers are empty and its protocol keeps nothing, in bytes. */
    long idleHeapBytes() {
        return idleHeapBytes;
    }

    /** The heap that this socket uses with its buffers and the state of its protocol, in bytes. */
    long heapBytes() {
        return idleHeapBytes + protocolHeapBytes + buffers.heapBytes();
    }

    /** Sets the admission that is notified when this socket is closed. */
    void setAdmission(ConnectionAdmission newAdmission) {
        admission = newAdmission;
    }

    /** Drops buffered input, and from now on reads and drops all input that arrives. */
    public void discardInput() {
        discardingInput = true;
        loop.inputScheduler().remove(this);
        input().skip(input().size());
        resumeReading();
    }

    /** The received bytes that have not been consumed. */
    public RingBuffer input() {
        return buffers.input();
    }

    private RingBuffer output() {
        return buffers.output();
    }

    /**
     * Uses another socket's input buffer as output buffer, so that bytes received there are sent here without a copy.
     */
    public void writeInputOf(Peer other) {
        buffers.writeInputOf(other.buffers);
    }

    /** Reads the available input, up to the capacity of the buffer. */
    void onReadable() {
        if (closed || inputEnded) {
            return;
        }
        int received = 0;
        boolean failed = false;
        try {
            int count = 1;
            while (count > 0 && !discardingInput && buffers.hasInputCapacity()) {
                count = input().readFrom(channel);
                received += Math.max(0, count);
            }
            if (discardingInput) {
                // one read per turn into a shared buffer, so that a flood takes neither memory nor other peers' time
                count = channel.read(loop.discardBuffer());
            }
            inputEnded = count < 0;
        } catch (IOException e) {
            failed = true;
        }
        // input is reported before the failure: an answer may have been received right before the reset
        if (received > 0) {
            loop.inputScheduler().beginSlice();
            listener.onBytesReceived(received);
        }
        if (failed) {
            processInputBeforeFailure();
            closeAfterError();
            return;
        }
        finishProcessing();
    }

    private void processInputBeforeFailure() {
        if (isInputWaiting()) {
            loop.inputScheduler().remove(this);
            processSlice();
        }
    }

    private void processSlice() {
        loop.inputScheduler().beginSlice();
        processingDeferred = true;
        listener.onInputSlice();
        processingDeferred = false;
    }

    /** Reports the end of the input once all input before it has been processed. */
    private void finishProcessing() {
        // only after the callback, which may have consumed a full buffer
        updateReadInterest();
        if (inputEnded && !endOfInputReported && !closed && !isInputWaiting()) {
            endOfInputReported = true;
            listener.onEndOfInput();
        }
        loop.heapBudget().enforce();
    }

    /**
     * Called by the listener before it processes input: whether the input has to wait because there is much of it, or
     * because earlier input waits. If so, {@link Listener#onInputSlice} is called when it may be processed.
     */
    public boolean deferInput() {
        boolean deferred =
                !processingDeferred && (isInputWaiting() || input().size() >= InputScheduler.MIN_DEFERRED_BYTES);
        if (deferred) {
            loop.inputScheduler().add(this);
        }
        return deferred;
    }

    /**
     * Called by the listener after each message that it has processed: whether the rest has to wait because the time of
     * the present slice is used up. If so, {@link Listener#onInputSlice} is called when it may go on.
     */
    public boolean isSliceOver() {
        if (!loop.inputScheduler().isSliceOver()) {
            return false;
        }
        loop.inputScheduler().add(this);
        return true;
    }

    /** Processes input that has waited, for one slice. */
    void processWaitingInput() {
        runGuarded(() -> {
            if (!closed) {
                processSlice();
                finishProcessing();
            }
        });
    }

    /** Makes the input wait for a slice, in which {@link Listener#onInputSlice} is called. */
    public void processInputLater() {
        loop.inputScheduler().add(this);
    }

    /** Whether input waits for a slice. */
    public boolean isInputWaiting() {
        return loop.inputScheduler().isWaiting(this);
    }

    /**
     * Reads the available input without waiting for the next select, so that a decision about this peer also considers
     * input that arrived after the last select.
     */
    public void readAvailable() {
        runGuarded(this::onReadable);
        if (isInputWaiting()) {
            loop.inputScheduler().remove(this);
            processWaitingInput();
        }
    }

    /** Called when the socket accepts output again. */
    void onWritable() {
        if (!closed) {
            flush();
        }
    }

    /** Appends a message of the relay in ISO 8859-1 to the output, and writes what the socket accepts. */
    public void send(String text) {
        output().append(text);
        flush();
    }

    /** Appends a message of the relay to the output, and writes what the socket accepts. */
    public void send(byte[] bytes) {
        output().append(bytes, 0, bytes.length);
        flush();
    }

    /** The number of bytes waiting to be written, without those that the output buffer withholds. */
    public int pendingBytes() {
        return output().writableBytes();
    }

    /** Ends connections without a request in flight if the heap is short; this one may be among them. */
    public void reclaimHeap() {
        loop.heapBudget().enforce();
    }

    /** Whether the connections of this socket's loop use more heap than they may. */
    public boolean isHeapShort() {
        return loop.heapBudget().isExceeded();
    }

    /** Stops reading until {@link #resumeReading}. */
    public void pauseReading() {
        readingPaused = true;
        updateReadInterest();
    }

    /** Writes what the socket accepts; calls {@link Listener#onFlushed} if no output is left. */
    public void flush() {
        if (closed || outputEnded || writeFailed) {
            return;
        }
        try {
            output().writeTo(outputChannel);
            if (output().writableBytes() > 0) {
                connection.enableIOEvent(IOEvent.WRITE);
                return;
            }
            connection.disableIOEvent(IOEvent.WRITE);
            if (outputShutdownRequested) {
                outputEnded = true;
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            // the peer may have answered before it closed the connection, and that answer may be unread
            writeFailed = true;
            onReadable();
            closeAfterError();
            return;
        }
        listener.onFlushed();
    }

    /** Reads again after {@link #pauseReading}, as long as the input buffer is not full. */
    public void resumeReading() {
        readingPaused = false;
        updateReadInterest();
    }

    private void updateReadInterest() {
        boolean wanted = !inputEnded && !readingPaused && buffers.hasInputCapacity();
        if (closed || wanted == readInterestSet) {
            return;
        }
        readInterestSet = wanted;
        try {
            if (wanted) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            closeAfterError();
        }
    }

    /** Sends a FIN after all buffered output; further calls have no effect. */
    public void shutdownOutput() {
        if (!outputShutdownRequested) {
            outputShutdownRequested = true;
            flush();
        }
    }

    /** Whether the peer has shut down its output. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    /** Whether this side's FIN has been sent. */
    public boolean isOutputEnded() {
        return outputEnded;
    }

    /** Whether the socket is closed locally. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the socket immediately and drops unwritten output; no effect on a closed socket. */
    public void close() {
        if (!closed) {
            countProtocolHeap(-protocolHeapBytes);
            closed = true;
            // the selector refers to the connection until it selects again, when many more may have been closed
            PEER_OF_CONNECTION.remove(connection);
            connection.terminateSilently();
            buffers.stopCounting();
            loop.inputScheduler().remove(this);
            if (admission != null) {
                admission.onClosed(this);
            }
        }
    }

    /** Closes the connection with an RST; no effect on a closed socket. */
    public void reset() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // without the option the close below still ends the connection
            }
            close();
        }
    }

    /** Runs a callback of this connection. An uncaught exception resets this connection and affects no other. */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "uncaught exception in a connection, connection reset", e);
            reset();
        }
    }

    private void closeAfterError() {
        if (!closed) {
            close();
            listener.onConnectionLost();
        }
    }
}
