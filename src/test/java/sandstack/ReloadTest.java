package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as the platform runs it, under the signals that the platform sends. */
class ReloadTest {
    @TempDir
    Path folder;

    private ServerSocket first;
    private ServerSocket second;
    private Path file;
    private Process relay;
    private BufferedReader log;

    @BeforeEach
    void start() throws Exception {
        first = discovery();
        second = discovery();
        file = folder.resolve("config.json");
        replaceBy(example(first));
        ProcessBuilder program = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-cp", System.getProperty("java.class.path"), "sandstack.Main", "serve").redirectErrorStream(true);
        program.environment().put("PROXY_CONFIG", file.toString());
        // as on the platform, the variable keeps the address of the start
        program.environment().put("PROXY_DISCOVERY", address(first));
        relay = program.start();
        log = relay.inputReader();
    }

    @AfterEach
    void stop() throws Exception {
        relay.destroyForcibly();
        first.close();
        second.close();
    }

    private static ServerSocket discovery() throws Exception {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listening.setSoTimeout(20_000);
        return listening;
    }

    private static String address(ServerSocket listening) {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private static String example(ServerSocket discovery) throws Exception {
        return Files.readString(Path.of("examples/config.json")).replace("127.0.0.1:3000", "127.0.0.1:0")
                .replaceFirst("(\"discovery\": *)\"[^\"]*\"", "$1\"" + address(discovery) + "\"");
    }

    private void replaceBy(String text) throws Exception {
        Files.writeString(file, text);
    }

    private void signal(String name) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(relay.pid())).start().waitFor()).isZero();
    }

    private static String ask(ServerSocket discovery) throws Exception {
        return new BufferedReader(new InputStreamReader(discovery.accept().getInputStream())).readLine();
    }

    private void untilLogged(String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertThat(line).as("a log line with: " + text).isNotNull();
    }

    @Test
    void followsTheFileAtSighupAndStillEndsInOrderAtSigterm() throws Exception {
        assertThat(ask(first)).contains("watch=1&from=");
        replaceBy(example(second));
        signal("HUP");
        assertThat(ask(second)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        replaceBy("{");
        signal("HUP");
        untilLogged("new configuration not taken, all stays as it is");
        replaceBy(example(first));
        signal("HUP");
        signal("HUP");
        assertThat(ask(first)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        signal("TERM");
        signal("HUP");
        untilLogged("stopped");
        assertThat(relay.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.exitValue()).isEqualTo(128 + 15);
    }
}
