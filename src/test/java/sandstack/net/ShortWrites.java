package sandstack.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

/**
 * Creates event loops whose sockets accept a limited number of bytes or fail writes, as a test configures. Needed
 * because loopback sockets accept each line completely. The configuration may be changed on any thread.
 */
public final class ShortWrites {
    private volatile int limitBytes = Integer.MAX_VALUE;
    private volatile String failsOn;

    /** Creates a loop whose sockets are written through limited channels. */
    public EventLoop loop() {
        return new EventLoop(LimitedChannel::new);
    }

    /** Limits the total number of bytes that each socket accepts over its lifetime. */
    public void limit(int bytes) {
        limitBytes = bytes;
    }

    /** Removes the limit; writes that were cut short continue when the socket is writable. */
    public void unlimited() {
        limitBytes = Integer.MAX_VALUE;
    }

    /** Makes each write fail whose bytes begin with this text. */
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

    /** Writes to a socket up to the limit, and reports the rest as not accepted. */
    private final class LimitedChannel implements WritableByteChannel {
        private final SocketChannel socket;
        private int writtenBytes;

        LimitedChannel(SocketChannel socket) {
            this.socket = socket;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            if (fails(bytes)) {
                throw new IOException("write failure injected by the test");
            }
            int accepted = Math.max(0, Math.min(bytes.remaining(), limitBytes - writtenBytes));
            int written = socket.write(bytes.slice(bytes.position(), accepted));
            bytes.position(bytes.position() + written);
            writtenBytes += written;
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
