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

/** The operators' port: its answers, invalid input and silent callers. */
@Timeout(20)
class OperatorDoorTest {
    private final EventLoop loop = new EventLoop();
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private volatile String hindrance;
    private int port;

    @BeforeEach
    void listen() throws IOException {
        loop.start(() -> deadlines.runExpired(loop.nowMicros()), deadlines::nextMicros);
        port = new OperatorDoor(loop, deadlines, () -> hindrance, () -> List.of("a.b=1", "a.c=2"))
                .listen("127.0.0.1", 0);
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
    }

    private Socket caller(String words) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(words.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        return socket;
    }

    private String call(String words) throws IOException {
        try (Socket socket = caller(words)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void pingTellsWhetherTheProcessCanServe() throws IOException {
        assertThat(call("PING\r\n")).isEqualTo("ACK\r\n");
        hindrance = "draining";
        assertThat(call("PING\r\n")).isEqualTo("NAK draining\r\n");
    }

    @Test
    void infoReturnsTheMetricsAndAnEndLine() throws IOException {
        assertThat(call("INFO\r\n")).isEqualTo("ACK\r\na.b=1\r\na.c=2\r\n--\r\n");
        assertThat(call("INFO\n")).isEqualTo("ACK\r\na.b=1\r\na.c=2\r\n--\r\n");
    }

    @Test
    void invalidCommandIsAnsweredInOneLine() throws IOException {
        for (String words : List.of(
                "NONSENSE\r\n", "\r\n", "ping\r\n", "PING\r\nPING\r\n", "\u0000\u00ff\u0001\n", "P".repeat(4096))) {
            assertThat(call(words)).startsWith("NAK ").endsWith("\r\n").hasLineCount(1);
        }
    }

    @Test
    void commandWithoutLineEndIsAnswered() throws IOException {
        try (Socket socket = caller("PING")) {
            socket.shutdownOutput();
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo("NAK the call has no line end\r\n");
        }
    }

    @Test
    void silentCallersDoNotBlockOthers() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            silent.add(caller(i % 2 == 0 ? "" : "PI"));
        }
        long began = System.nanoTime();
        assertThat(call("PING\r\n")).isEqualTo("ACK\r\n");
        assertThat(System.nanoTime() - began).isLessThan(1_000_000_000L);
        // the last caller is still connected, and may send the rest of its command
        Socket last = silent.get(49);
        last.getOutputStream().write("NG\r\n".getBytes(StandardCharsets.UTF_8));
        assertThat(new String(last.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                .isEqualTo("ACK\r\n");
        for (Socket socket : silent) {
            socket.close();
        }
    }
}
