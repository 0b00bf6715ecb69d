import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;

/**
 * Clients of AMQP 1.0 that connect at the same time and stop half way: each opens its connection and a session, waits for
 * the relay's open, sends a part of one attach, and then neither sends nor closes. They read whatever is sent to them.
 */
final class Crowd {
    private static final int SIZE = 2_000;
    /** The relay announces frames of up to 65,536 bytes in its open. */
    private static final int ATTACH_FRAME_BYTES = 65_000;

    private static final int SENT_BYTES = 60_000;
    /** The relay's protocol header has 8 bytes; what follows is its open. */
    private static final int HEADER_BYTES = 8;

    private final Bench bench;
    private final int port;
    private final ByteBuffer input = ByteBuffer.allocate(64 * 1024);
    private int connected;
    private int stopped;
    private int ended;

    Crowd(Bench bench, int port) {
        this.bench = bench;
        this.port = port;
    }

    /** One client of the crowd. */
    private static final class Member {
        private ByteBuffer output = ByteBuffer.wrap(opening());
        private int received;
        private boolean opened;
    }

    /** Lets the crowd come, and keeps its connections open for this time. */
    void run(long millis) throws IOException {
        bench.note("a crowd of " + SIZE + " AMQP clients connects");
        Selector selector = Selector.open();
        for (int i = 0; i < SIZE; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress("127.0.0.1", port));
            channel.register(selector, SelectionKey.OP_CONNECT, new Member());
        }
        long endNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            selector.select(100);
            for (SelectionKey key : selector.selectedKeys()) {
                try {
                    serve(key);
                } catch (IOException e) {
                    end(key);
                }
            }
            selector.selectedKeys().clear();
        }
        bench.note("crowd: connected " + connected + ", stopped in the middle of an attach " + stopped
                + ", ended by the relay " + ended);
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private void serve(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        Member member = (Member) key.attachment();
        if (key.isConnectable() && channel.finishConnect()) {
            connected++;
        }
        if (key.isReadable()) {
            int count = channel.read(input.clear());
            if (count < 0) {
                end(key);
                return;
            }
            member.received += count;
            if (!member.opened && member.received > HEADER_BYTES) {
                member.opened = true;
                member.output = ByteBuffer.wrap(HALF_ATTACH);
            }
        }
        if (member.output.hasRemaining()) {
            channel.write(member.output);
            if (member.opened && !member.output.hasRemaining()) {
                stopped++;
            }
        }
        key.interestOps(SelectionKey.OP_READ | (member.output.hasRemaining() ? SelectionKey.OP_WRITE : 0));
    }

    private void end(SelectionKey key) throws IOException {
        ended++;
        key.cancel();
        key.channel().close();
    }

    /** The protocol header, an open and a begin. */
    private static byte[] opening() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Engine engine = EngineFactory.PROTON.createNonSaslEngine();
        engine.outputConsumer(buffer -> {
            byte[] written = new byte[buffer.getReadableBytes()];
            buffer.readBytes(written, 0, written.length);
            bytes.writeBytes(written);
        });
        Connection connection = engine.start();
        connection.setContainerId("tablet");
        connection.open();
        connection.session().open();
        engine.ingest(ProtonBufferAllocator.defaultAllocator().copy(new byte[] {'A', 'M', 'Q', 'P', 0, 1, 0, 0}));
        return bytes.toByteArray();
    }

    private static final byte[] HALF_ATTACH = halfAttach();

    /** The first part of an attach on channel 0, which has a long link name. */
    private static byte[] halfAttach() {
        byte[] bytes = new byte[SENT_BYTES];
        Arrays.fill(bytes, "x".getBytes(StandardCharsets.US_ASCII)[0]);
        ByteBuffer frame = ByteBuffer.wrap(bytes);
        frame.putInt(ATTACH_FRAME_BYTES).put((byte) 2).put((byte) 0).putShort((short) 0);
        // descriptor of attach, a list of three fields: name, handle, role
        frame.put((byte) 0).put((byte) 0x53).put((byte) 0x12);
        frame.put((byte) 0xd0).putInt(ATTACH_FRAME_BYTES - frame.position() - Integer.BYTES).putInt(3);
        frame.put((byte) 0xb1).putInt(ATTACH_FRAME_BYTES - frame.position() - Integer.BYTES - 2);
        return bytes;
    }
}
