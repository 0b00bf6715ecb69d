package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A relay that gets its endpoint list from a discovery agent on the same machine, to which discovery pushes each change
 * ({@code membership_mode} {@code pushed}). The agent's list is binding from the start of the process, and again at
 * once after silence and after an outage.
 */
class PushedListTest {
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    private ServerSocket agent;
    private int port;
    private Process relay;
    private BufferedReader log;
    private Socket watch;

    @BeforeEach
    void start() throws Exception {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        agent.setSoTimeout(20_000);
        port = agent.getLocalPort();
        String config = Files.readString(Path.of("examples/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replaceFirst("(\"discovery\": *)\"[^\"]*\"", "$1\"127.0.0.1:" + port + "\"");
        assertThat(config).contains("on_request");
        Path file = Files.writeString(folder.resolve("config.json"), config.replace("on_request", "pushed"));
        ProcessBuilder processBuilder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "serve")
                .redirectErrorStream(true);
        processBuilder.environment().put("PROXY_CONFIG", file.toString());
        relay = processBuilder.start();
        log = relay.inputReader();
    }

    @AfterEach
    void stop() throws Exception {
        relay.destroyForcibly();
        agent.close();
    }

    private void acceptWatch() throws Exception {
        watch = agent.accept();
        BufferedReader in = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
        assertThat(in.readLine()).startsWith("GET /registry/instances?watch=1");
        watch.getOutputStream().write(RESPONSE_HEAD.getBytes(StandardCharsets.UTF_8));
    }

    private void sendList(int rev, String state) throws Exception {
        String text = "{\"rev\":" + rev + ",\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:9\","
                + "\"az\":\"ulaanbaatar\",\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}]}\n";
        watch.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private String awaitLogged(String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertThat(line).as("log line with: " + text).isNotNull();
        return line;
    }

    /**
     * If the watch were opened after the listener, the first clients would be placed by the configured list, which
     * dates from the previous run.
     */
    @Test
    void opensTheWatchBeforeTheListenerAndReopensItAtOnceAfterSilenceAndOutage() throws Exception {
        acceptWatch();
        sendList(50, "ready");
        awaitLogged(" protocol=lines address=");

        // silence: the relay closes the watch and opens the next one without the long backoff for a shared discovery
        awaitLogged("discovery watch failed reason=\"no data for");
        long silenceNanos = System.nanoTime();
        acceptWatch();
        long reopenedNanos = System.nanoTime() - silenceNanos;
        sendList(51, "ready");

        // outage: the agent refuses connections, then recovers; the relay opens a watch at once
        agent.close();
        watch.setSoLinger(true, 0);
        watch.close();
        awaitLogged("discovery watch failed reason=\"connection lost\"");
        awaitLogged("discovery watch failed reason=\"no connection\"");
        agent = new ServerSocket();
        agent.setReuseAddress(true);
        agent.setSoTimeout(20_000);
        agent.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        long recoveryNanos = System.nanoTime();
        acceptWatch();
        long reconnectedNanos = System.nanoTime() - recoveryNanos;
        assertThat(relay.isAlive()).isTrue();
        assertThat(TimeUnit.NANOSECONDS.toMillis(reopenedNanos)).isLessThan(2_000);
        assertThat(TimeUnit.NANOSECONDS.toMillis(reconnectedNanos)).isLessThan(2_000);
    }

    /** An agent that sends no list delays the opening of the listener by one second. */
    @Test
    void servesWithTheConfiguredListWhileTheAgentIsSilent() throws Exception {
        awaitLogged(" protocol=lines address=");
        assertThat(relay.isAlive()).isTrue();
    }
}
