package sandstack.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One socket with its two rings. What it hears of its peer it tells its owner; what it writes leaves at once
 * or as soon as the socket takes it.
 */
public final class Peer {
    /** How many bytes may wait in one direction. */
    public static final int BUFFER_LIMIT_BYTES = 16 * 1024;

    private static final Attribute<Peer> OF = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(Peer.class.getName());

    /** Who is told what a socket does. */
    public interface Listener {
        /** More bytes are in {@link Peer#input}, the newest so many. */
        void onBytesReceived(int count);

        /** All that was waiting has been written. */
        void onFlushed();

        /** The peer has ended its sending; what came before is in the ring. */
        void onEndOfInput();

        /** The connection broke; the socket is closed. */
        void onConnectionLost();
    }

    private final NIOConnection connection;
    private final SocketChannel channel;
    private final WritableByteChannel output;
    private final EventLoop loop;
    private final RingBuffer in = new RingBuffer(BUFFER_LIMIT_BYTES);
    private RingBuffer out = new RingBuffer(BUFFER_LIMIT_BYTES);
    private Listener owner;
    private boolean held;
    private boolean reading = true;
    private boolean finishing;
    private boolean outEnded;
    private boolean discarding;
    private ConnectionAdmission lobby;
    private boolean inEnded;
    private boolean outBroken;
    private boolean closed;

    Peer(Connection<?> connection, EventLoop loop) {
        this.connection = (NIOConnection) connection;
        this.channel = (SocketChannel) this.connection.getChannel();
        this.output = loop.output(channel);
        this.loop = loop;
        OF.set(connection, this);
    }

    static Peer of(Connection<?> connection) {
        return OF.get(connection);
    }

    /** From now on this owner is told what the socket does. */
    public void setListener(Listener newOwner) {
        owner = newOwner;
    }

    /** The lobby hears of this socket's end. */
    void watchedBy(ConnectionAdmission watching) {
        lobby = watching;
    }

    /** From now on what comes is read and thrown away. */
    public void discardInput() {
        discarding = true;
        in.skip(in.size());
        resumeReading();
    }

    /** Bytes that came from the peer and were not yet passed on. */
    public RingBuffer input() {
        return in;
    }

    /** Makes another socket's incoming ring the one that this one writes from: what comes there goes out here. */
    public void writeInputOf(Peer other) {
        out = other.in;
    }

    // ---- what the loop calls ----------------------------------------------------------------------

    /** Takes what has come; stops reading while the ring is full. */
    void readable() {
        if (closed || inEnded) {
            return;
        }
        int came = 0;
        boolean broke = false;
        try {
            int n = 1;
            while (n > 0 && !discarding && in.remainingCapacity() > 0) {
                n = in.readFrom(channel);
                came += Math.max(0, n);
            }
            if (discarding) {
                // one piece a turn, through one buffer for all: a peer that sends 60 MB costs neither memory
                // nor the others' turns
                n = channel.read(loop.scrap());
            }
            inEnded = n < 0;
        } catch (IOException e) {
            broke = true;
        }
        // first what it said: an answer may have come right before the reset
        if (came > 0) {
            owner.onBytesReceived(came);
        }
        if (broke) {
            breakDown();
            return;
        }
        // only now: an owner that takes everything at once has made room in a ring that was full before
        setReading();
        if (inEnded && !closed) {
            owner.onEndOfInput();
        }
    }

    /** Takes what has come by now: whoever is about to act on this peer's being there looks first. */
    public void readAvailable() {
        EventLoop.guarded(this, this::readable);
    }

    void writable() {
        if (!closed) {
            flush();
        }
    }

    // ---- what owners call -------------------------------------------------------------------------

    /** Adds words of the relay's own and writes what it can. */
    public void send(String text) {
        out.append(text);
        flush();
    }

    /** Adds bytes of the relay's own making and writes what it can. */
    public void send(byte[] bytes) {
        out.append(bytes, 0, bytes.length);
        flush();
    }

    /** How many bytes wait to be written. */
    public int pendingBytes() {
        return out.size();
    }

    /** Stops reading until {@link #resumeReading}: what is read could not be passed on now. */
    public void pauseReading() {
        held = true;
        setReading();
    }

    /** Writes what waits; tells the owner when nothing does. */
    public void flush() {
        if (closed || outEnded || outBroken) {
            return;
        }
        try {
            out.writeTo(output);
            if (!out.isEmpty()) {
                connection.enableIOEvent(IOEvent.WRITE);
                return;
            }
            connection.disableIOEvent(IOEvent.WRITE);
            if (finishing) {
                outEnded = true;
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            // a peer that has closed may have answered before: what it said still lies here unread
            outBroken = true;
            readable();
            breakDown();
            return;
        }
        owner.onFlushed();
    }

    /** Reads on, if there is room. */
    public void resumeReading() {
        held = false;
        setReading();
    }

    private void setReading() {
        boolean wanted = !inEnded && !held && in.remainingCapacity() > 0;
        if (closed || wanted == reading) {
            return;
        }
        reading = wanted;
        try {
            if (wanted) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            breakDown();
        }
    }

    /** Ends the sending, as a FIN, after all that waits has gone out. */
    public void shutdownOutput() {
        if (!finishing) {
            finishing = true;
            flush();
        }
    }

    /** Whether the peer has ended its sending. */
    public boolean isInputEnded() {
        return inEnded;
    }

    /** Whether the end of our sending has gone out. */
    public boolean isOutputEnded() {
        return outEnded;
    }

    /** Whether the socket is closed here. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the socket at once; what has not been written is lost. Without effect where it is closed already. */
    public void close() {
        if (!closed) {
            closed = true;
            connection.terminateSilently();
            if (lobby != null) {
                lobby.closed(this);
            }
        }
    }

    /** Ends the connection as a reset. */
    public void reset() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // it is closed all the same
            }
            close();
        }
    }

    private void breakDown() {
        if (!closed) {
            close();
            owner.onConnectionLost();
        }
    }
}
