package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The README's command lines work as written, run by a shell in the root directory. */
class ReadmeCommandsTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int CLIENTS = 300;
    private static final int GROUPS = 20;

    private final List<Process> started = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void end() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        for (Process p : started) {
            p.descendants().forEach(ProcessHandle::destroyForcibly);
            p.destroyForcibly().waitFor();
        }
    }

    /** The indented lines of the README that run the jar, in their order. */
    private static List<String> commandLines() throws IOException {
        return Files.readAllLines(Path.of("README.md")).stream()
                .filter(line -> line.startsWith("    ") && line.contains("-jar target/sandstack.jar"))
                .map(String::trim)
                .toList();
    }

    /**
     * Runs a line by a shell in the root directory, on the classes under test: the jar does not exist before the tests.
     */
    private Process run(String line) throws IOException {
        Process p = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        line.replaceFirst(" &$", "")
                                .replaceFirst("\\bjava ", Matcher.quoteReplacement(SocketHolder.java() + " "))
                                .replace(
                                        "-jar target/sandstack.jar",
                                        "-cp '" + System.getProperty("java.class.path") + "' sandstack.Main"))
                .redirectErrorStream(true)
                .start();
        started.add(p);
        return p;
    }

    /** Reads until a line contains this text; returns all that was read. */
    private static String readUntil(Process p, String text) throws Exception {
        return CompletableFuture.supplyAsync(() -> {
                    StringBuilder output = new StringBuilder();
                    BufferedReader in = p.inputReader();
                    try {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            output.append(line).append('\n');
                            if (line.contains(text)) {
                                return output.toString();
                            }
                        }
                    } catch (IOException e) {
                        output.append(e);
                    }
                    throw new IllegalStateException("no line with " + text + " in: " + output);
                })
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Connects a client with its own key; returns its first line. */
    private String connect(int i) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), 3000);
        clients.add(client);
        client.setSoTimeout(5_000);
        client.getOutputStream()
                .write(("OPEN first" + i + " key" + i + " c=order-status,d=2000,g=shop-" + i % GROUPS + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    @Test
    void readmeCommandsServeThreeHundredClientsWithTwoIdleServers() throws Exception {
        List<String> lines = commandLines();
        assertThat(lines)
                .as("README lines: the test servers, the relay, one connection")
                .hasSize(3);
        readUntil(run(lines.get(0)), "2 feed servers");
        Process console = run(lines.get(1));
        console.outputWriter().append("listeners\n").flush();
        readUntil(console, "lines at 127.0.0.1:3000");
        Process open = run(lines.get(2));
        assertThat(new String(open.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .toList())
                .satisfies(output -> assertThat(output.get(0)).startsWith("UP "))
                .satisfies(output -> assertThat(output.get(1)).isEqualTo("hello"))
                .hasSize(2);
        assertThat(open.waitFor()).isZero();
        List<String> rejected = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String answer = connect(i);
            if (answer == null || !answer.startsWith("UP ")) {
                rejected.add(answer);
            }
        }
        assertThat(rejected)
                .as("rejected of %d clients without load reports at idle feed servers", CLIENTS)
                .isEmpty();
    }
}
