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
 * One non-blocking socket with a buffer for each direction. Input is reported to the {@link Listener}; output is
 * written at once or as soon as the socket accepts it. A full input buffer stops the reading. Used on the loop's thread
 * only.
 */
public final class Peer {
    /** Bytes that one direction buffers before reading stops. */
    public static final int BUFFER_LIMIT_BYTES = 16 * 1024;

    private static final Logger LOG = Logger.getLogger("sandstack.net");
    private static final Attribute<Peer> PEER_OF_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(Peer.class.getName());

    /** Receives the events of a socket, on the loop's thread. */
    public interface Listener {
        /** {@link Peer#input} has grown by this many bytes. */
        void onBytesReceived(int count);

        /** All buffered output has been written. */
        void onFlushed();

        /** The peer has shut down its output; what it sent before is in {@link Peer#input}. */
        void onEndOfInput();

        /** The connection failed; the socket is closed. */
        void onConnectionLost();
    }

    private final NIOConnection connection;
    private final SocketChannel channel;
    private final WritableByteChannel outputChannel;
    private final EventLoop loop;
    private final RingBuffer input = new RingBuffer(BUFFER_LIMIT_BYTES);
    private RingBuffer output = new RingBuffer(BUFFER_LIMIT_BYTES);
    private Listener listener;
    private boolean readingPaused;
    private boolean readInterestSet = true;
    private boolean outputShutdownRequested;
    private boolean outputEnded;
    private boolean discardingInput;
    private ConnectionAdmission admission;
    private boolean inputEnded;
    private boolean writeFailed;
    private boolean closed;

    Peer(Connection<?> connection, EventLoop loop) {
        this.connection = (NIOConnection) connection;
        this.channel = (SocketChannel) this.connection.getChannel();
        this.outputChannel = loop.outputChannel(channel);
        this.loop = loop;
        PEER_OF_CONNECTION.set(connection, this);
    }

    static Peer of(Connection<?> connection) {
        return PEER_OF_CONNECTION.get(connection);
    }

    /** Replaces the listener. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Sets the admission that is notified when this socket is closed. */
    void setAdmission(ConnectionAdmission newAdmission) {
        admission = newAdmission;
    }

    /** Drops buffered input, and from now on reads and drops what arrives. */
    public void discardInput() {
        discardingInput = true;
        input.skip(input.size());
        resumeReading();
    }

    /** Bytes that were received from the peer and not consumed yet. */
    public RingBuffer input() {
        return input;
    }

    /** Writes from another socket's input buffer: what is received there is sent here, without a copy. */
    public void writeInputOf(Peer other) {
        output = other.input;
    }

    /** Reads what is available; stops reading while the buffer is full. */
    void onReadable() {
        if (closed || inputEnded) {
            return;
        }
        int received = 0;
        boolean failed = false;
        try {
            int count = 1;
            while (count > 0 && !discardingInput && input.remainingCapacity() > 0) {
                count = input.readFrom(channel);
                received += Math.max(0, count);
            }
            if (discardingInput) {
                // one read a turn into one shared buffer, so that a flood costs neither memory nor other peers' turns
                count = channel.read(loop.discardBuffer());
            }
            inputEnded = count < 0;
        } catch (IOException e) {
            failed = true;
        }
        // input first: an answer may have been received right before the reset
        if (received > 0) {
            listener.onBytesReceived(received);
        }
        if (failed) {
            closeAfterError();
            return;
        }
        // after the callback, which may have consumed a full buffer
        updateReadInterest();
        if (inputEnded && !closed) {
            listener.onEndOfInput();
        }
    }

    /** Reads what is available now, so that a decision about this peer does not rest on an old readiness. */
    public void readAvailable() {
        runGuarded(this::onReadable);
    }

    /** Writes buffered output, if any. */
    void onWritable() {
        if (!closed) {
            flush();
        }
    }

    /** Buffers text of the relay's own and writes what the socket accepts. */
    public void send(String text) {
        output.append(text);
        flush();
    }

    /** Buffers bytes of the relay's own and writes what the socket accepts. */
    public void send(byte[] bytes) {
        output.append(bytes, 0, bytes.length);
        flush();
    }

    /** How many bytes are waiting to be written. */
    public int pendingBytes() {
        return output.size();
    }

    /** Stops reading until {@link #resumeReading}. */
    public void pauseReading() {
        readingPaused = true;
        updateReadInterest();
    }

    /** Writes buffered output; notifies the listener once nothing is left. */
    public void flush() {
        if (closed || outputEnded || writeFailed) {
            return;
        }
        try {
            output.writeTo(outputChannel);
            if (!output.isEmpty()) {
                connection.enableIOEvent(IOEvent.WRITE);
                return;
            }
            connection.disableIOEvent(IOEvent.WRITE);
            if (outputShutdownRequested) {
                outputEnded = true;
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            // a peer that has closed may have answered before, and its answer is still unread
            writeFailed = true;
            onReadable();
            closeAfterError();
            return;
        }
        listener.onFlushed();
    }

    /** Reads again, as far as the buffer has room. */
    public void resumeReading() {
        readingPaused = false;
        updateReadInterest();
    }

    private void updateReadInterest() {
        boolean wanted = !inputEnded && !readingPaused && input.remainingCapacity() > 0;
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

    /** Sends a FIN after all buffered output. */
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

    /** Whether this side has closed the socket. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the socket at once and drops unwritten output. No effect on a closed socket. */
    public void close() {
        if (!closed) {
            closed = true;
            connection.terminateSilently();
            if (admission != null) {
                admission.onClosed(this);
            }
        }
    }

    /** Closes the connection with a TCP reset. */
    public void reset() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // the socket is closed in any case
            }
            close();
        }
    }

    /** Runs a callback of this connection. A fault in it resets this connection and leaves the others alone. */
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
