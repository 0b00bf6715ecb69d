import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.exceptions.EngineStateException;

/** One AMQP 1.0 connection without a security layer. The engine is used only while the lock of this object is held. */
class AmqpPeer {
    final Bench bench;
    final String name;
    final Socket socket;
    final Engine engine = EngineFactory.PROTON.createNonSaslEngine();
    final Connection connection;
    final CountDownLatch ended = new CountDownLatch(1);

    AmqpPeer(Bench bench, String name, Socket socket) throws IOException {
        this.bench = bench;
        this.name = name;
        this.socket = socket;
        socket.setTcpNoDelay(true);
        engine.outputConsumer(buffer -> {
            byte[] bytes = new byte[buffer.getReadableBytes()];
            buffer.readBytes(bytes, 0, bytes.length);
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                // the other side has ended; the reading thread notes it
            }
        });
        engine.errorHandler(failed -> bench.note(name + ": AMQP engine failed: " + failed.failureCause()));
        connection = engine.start();
        connection.setIdleTimeout(0);
        connection.closeHandler(c -> {
            bench.note(name + ": the relay has closed the connection, error " + c.getRemoteCondition());
            c.close();
        });
    }

    /** Reads until the connection ends. */
    void read() {
        byte[] bytes = new byte[8192];
        try {
            InputStream in = socket.getInputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                synchronized (this) {
                    if (connection.isLocallyOpen()) {
                        // the relay announces an idle timeout: a heartbeat is sent where one is due
                        connection.tick(System.nanoTime() / 1_000_000);
                    }
                    engine.ingest(ProtonBufferAllocator.defaultAllocator().copy(bytes, 0, n));
                }
            }
            bench.note(name + ": the relay has ended the connection");
        } catch (IOException | EngineStateException e) {
            bench.note(name + ": the connection is over: " + e.getMessage());
        } finally {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
            ended.countDown();
        }
    }

    /** Sends a heartbeat each second, so that the relay's idle timeout of 4.5 s is kept. */
    void startHeartbeats() {
        Bench.daemon(name + " heartbeats", () -> {
            while (ended.getCount() > 0) {
                Bench.sleep(1000);
                synchronized (this) {
                    if (connection.isLocallyOpen() && engine.isWritable()) {
                        connection.tick(System.nanoTime() / 1_000_000);
                    }
                }
            }
        });
    }

    static String text(ProtonBuffer bytes) {
        return bytes == null ? "" : bytes.toString(StandardCharsets.UTF_8);
    }
}
