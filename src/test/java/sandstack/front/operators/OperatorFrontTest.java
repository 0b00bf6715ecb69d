package sandstack.front.operators;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;

/** The operators' port: its answers, invalid input, and connections that send no complete command. */
@Timeout(20)
class OperatorFrontTest {
    private final EventLoop loop = new EventLoop();
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private volatile String notReadyReason;
    private int port;

    @BeforeEach
    void listen() throws IOException {
        loop.start(() -> deadlines.runExpired(loop.nowMicros()), deadlines::nextMicros);
        port = new OperatorFront(loop, deadlines, () -> notReadyReason, () -> List.of("a.b=1", "a.c=2"))
                .listen("127.0.0.1", 0);
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
    }

    private Socket connectAndSend(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Sends this text over a new connection, and returns all that is received until the connection ends. */
    private String call(String text) throws IOException {
        try (Socket socket = connectAndSend(text)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void pingReportsWhetherTheProcessCanServe() throws IOException {
        assertThat(call("PING\r\n")).isEqualTo("ACK\r\n");
        notReadyReason = "draining";
        assertThat(call("PING\r\n")).isEqualTo("NAK draining\r\n");
    }

    @Test
    void infoReturnsTheMetricsAndAnEndLine() throws IOException {
        assertThat(call("INFO\r\n")).isEqualTo("ACK\r\na.b=1\r\na.c=2\r\n--\r\n");
        assertThat(call("INFO\n")).isEqualTo("ACK\r\na.b=1\r\na.c=2\r\n--\r\n");
    }

    @Test
    void invalidCommandIsAnsweredInOneLine() throws IOException {
        for (String text : List.of(
                "NONSENSE\r\n", "\r\n", "ping\r\n", "PING\r\nPING\r\n", "\u0000\u00ff\u0001\n", "P".repeat(4096))) {
            assertThat(call(text)).startsWith("NAK ").endsWith("\r\n").hasLineCount(1);
        }
    }

    @Test
    void commandWithoutLineEndIsAnswered() throws IOException {
        try (Socket socket = connectAndSend("PING")) {
            socket.shutdownOutput();
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo("NAK the call has no line end\r\n");
        }
    }

    @Test
    void silentCallersDoNotBlockOthers() throws IOException {
        List<Socket> silentSockets = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            silentSockets.add(connectAndSend(i % 2 == 0 ? "" : "PI"));
        }
        long startNanos = System.nanoTime();
        assertThat(call("PING\r\n")).isEqualTo("ACK\r\n");
        assertThat(System.nanoTime() - startNanos).isLessThan(1_000_000_000L);
        // the newest of the silent connections is still open, and its command can be completed
        Socket last = silentSockets.get(49);
        last.getOutputStream().write("NG\r\n".getBytes(StandardCharsets.UTF_8));
        assertThat(new String(last.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                .isEqualTo("ACK\r\n");
        for (Socket socket : silentSockets) {
            socket.close();
        }
    }
}
