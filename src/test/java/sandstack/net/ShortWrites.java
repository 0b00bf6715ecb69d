package sandstack.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

/**
 * Sockets that accept only a number of bytes, or whose writes fail, as a test configures it; loopback itself accepts
 * every line at once.
 */
public final class ShortWrites {
    private volatile int limitBytes = Integer.MAX_VALUE;
    private volatile String failsOn;

    /** A loop whose sockets are written through this. */
    public EventLoop loop() {
        return new EventLoop(Limited::new);
    }

    /** Limits the bytes that each socket accepts, counted from its beginning. */
    public void limit(int bytes) {
        limitBytes = bytes;
    }

    /** Removes the limit. */
    public void unlimited() {
        limitBytes = Integer.MAX_VALUE;
    }

    /** Makes writes fail that begin with this text. */
    public void failOn(String beginning) {
        failsOn = beginning;
    }

    private boolean fails(ByteBuffer bytes) {
        String beginning = failsOn;
        if (beginning == null || bytes.remaining() < beginning.length()) {
            return false;
        }
        byte[] first = new byte[beginning.length()];
        bytes.duplicate().get(first);
        return beginning.equals(new String(first, StandardCharsets.US_ASCII));
    }

    /** Accepts no more bytes than the limit. */
    private final class Limited implements WritableByteChannel {
        private final SocketChannel socket;
        private int taken;

        Limited(SocketChannel socket) {
            this.socket = socket;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            if (fails(bytes)) {
                throw new IOException("a write that the test fails");
            }
            int room = Math.max(0, Math.min(bytes.remaining(), limitBytes - taken));
            int written = socket.write(bytes.slice(bytes.position(), room));
            bytes.position(bytes.position() + written);
            taken += written;
            return written;
        }

        @Override
        public boolean isOpen() {
            return socket.isOpen();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
