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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A relay process configured as on the platform: SIGHUP reloads the configuration file, SIGTERM shuts down gracefully.
 */
class ReloadTest {
    @TempDir
    Path folder;

    private ServerSocket firstDiscovery;
    private ServerSocket secondDiscovery;
    private Path configFile;
    private Process relay;
    private BufferedReader log;
    private int operatorPort;
    private int clientPort;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        firstDiscovery = openDiscovery();
        secondDiscovery = openDiscovery();
        configFile = folder.resolve("config.json");
        replaceConfig(example(firstDiscovery));
        ProcessBuilder processBuilder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "serve")
                .redirectErrorStream(true);
        processBuilder.environment().put("PROXY_CONFIG", configFile.toString());
        // as on the platform, the environment does not change at a reload, so this variable keeps the first address
        processBuilder.environment().put("PROXY_DISCOVERY", address(firstDiscovery));
        processBuilder.environment().put("PROXY_OPERATOR", "127.0.0.1:0");
        relay = processBuilder.start();
        log = relay.inputReader();
    }

    @AfterEach
    void stop() throws Exception {
        relay.destroyForcibly();
        firstDiscovery.close();
        secondDiscovery.close();
    }

    private static ServerSocket openDiscovery() throws Exception {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listening.setSoTimeout(20_000);
        return listening;
    }

    private static String address(ServerSocket listening) {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private static String example(ServerSocket discovery) throws Exception {
        return Files.readString(Path.of("examples/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replaceFirst("(\"discovery\": *)\"[^\"]*\"", "$1\"" + address(discovery) + "\"");
    }

    private void replaceConfig(String text) throws Exception {
        Files.writeString(configFile, text);
    }

    private void signal(String name) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(relay.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    private static String awaitPoll(ServerSocket discovery) throws Exception {
        return new BufferedReader(new InputStreamReader(discovery.accept().getInputStream(), StandardCharsets.UTF_8))
                .readLine();
    }

    private void awaitLogged(String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertThat(line).as("log line with: " + text).isNotNull();
    }

    private String sendOperatorCommand(String command) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), operatorPort)) {
            socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Sends SIGHUP, and waits until the metrics count these numbers of applied and rejected configurations. */
    private void reload(int expectedApplied, int expectedRejected) throws Exception {
        signal("HUP");
        String info = sendOperatorCommand("INFO");
        while (!info.contains("config_applied=" + expectedApplied + "\r\n")
                || !info.contains("config_rejected=" + expectedRejected + "\r\n")) {
            assertThat(relay.isAlive()).isTrue();
            info = sendOperatorCommand("INFO");
        }
    }

    /** The response to a request of this class: {@code BUSY} for a configured class, as no feed server is reachable. */
    private String sendRequest(String requestClass) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), clientPort)) {
            socket.getOutputStream()
                    .write(("OPEN i" + ++requestCount + " k c=" + requestClass + ",d=300\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void appliesCompleteSettingsAndRejectsIncompleteOnes() throws Exception {
        Matcher listenerOpened = Pattern.compile(
                        "listener opened relay=\\S+ protocol=(operators|lines) address=127.0.0.1:([0-9]+)")
                .matcher("");
        while (operatorPort == 0 || clientPort == 0) {
            if (listenerOpened.reset(log.readLine()).find()) {
                int port = Integer.parseInt(listenerOpened.group(2));
                operatorPort = listenerOpened.group(1).equals("operators") ? port : operatorPort;
                clientPort = listenerOpened.group(1).equals("lines") ? port : clientPort;
            }
        }
        String initialConfig = example(firstDiscovery);
        String changedConfig = initialConfig
                .replace("\"catalogue-feed\"", "\"price-feed\"")
                .replace("\"max_attempts\": 6", "\"max_attempts\": 2");
        assertThat(sendRequest("catalogue-feed")).startsWith("BUSY");
        assertThat(sendRequest("price-feed")).isEqualTo("ERR\r\n");
        replaceConfig(changedConfig);
        reload(1, 0);
        assertThat(sendRequest("price-feed")).startsWith("BUSY");
        assertThat(sendRequest("catalogue-feed")).isEqualTo("ERR\r\n");
        int rejected = 0;
        for (String invalid : List.of(
                "",
                changedConfig.substring(0, 900),
                changedConfig.replace("\"max_attempts\": 2,", ""),
                changedConfig.replace("\"max_attempts\": 2", "\"max_attempts\": \"two\""),
                initialConfig.replace("\"deadline_us\": 3000000", "\"deadline_us\": 0"))) {
            replaceConfig(invalid);
            reload(1, ++rejected);
            assertThat(sendRequest("price-feed")).startsWith("BUSY");
            assertThat(sendRequest("catalogue-feed")).isEqualTo("ERR\r\n");
        }
        replaceConfig(initialConfig);
        reload(2, rejected);
        assertThat(sendRequest("catalogue-feed")).startsWith("BUSY");
        assertThat(sendOperatorCommand("INFO"))
                .contains(
                        "edge_proxy.responses.catalogue-feed.shed=2\r\n", "edge_proxy.responses.price-feed.shed=6\r\n");
    }

    @Test
    void reloadsTheFileAtSighupAndShutsDownGracefullyAtSigterm() throws Exception {
        assertThat(awaitPoll(firstDiscovery)).contains("watch=1&from=");
        replaceConfig(example(secondDiscovery));
        signal("HUP");
        assertThat(awaitPoll(secondDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        replaceConfig("{");
        signal("HUP");
        awaitLogged("configuration rejected reason=");
        replaceConfig(example(firstDiscovery));
        signal("HUP");
        signal("HUP");
        assertThat(awaitPoll(firstDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        signal("TERM");
        signal("HUP");
        awaitLogged("relay stopped");
        assertThat(relay.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.exitValue()).isEqualTo(128 + 15);
    }
}
