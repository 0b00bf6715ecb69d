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

/** What a newcomer does first: the README's own command lines, typed as written, from the root. */
class FirstTryTest {
    private static final long SECONDS = 20;
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

    /** The README's lines that start the program, in their order. */
    private static List<String> commandLines() throws IOException {
        return Files.readAllLines(Path.of("README.md")).stream()
                .filter(line -> line.startsWith("    ") && line.contains("-jar target/sandstack.jar"))
                .map(String::trim)
                .toList();
    }

    /** Types a line at a shell in the root. The tests run before the jar is made: the classes are the same. */
    private Process type(String line) throws IOException {
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

    /** Reads until a line has these words; what was read. */
    private static String readUntil(Process p, String words) throws Exception {
        return CompletableFuture.supplyAsync(() -> {
                    StringBuilder said = new StringBuilder();
                    BufferedReader in = p.inputReader();
                    try {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            said.append(line).append('\n');
                            if (line.contains(words)) {
                                return said.toString();
                            }
                        }
                    } catch (IOException e) {
                        said.append(e);
                    }
                    throw new IllegalStateException("never said " + words + ": " + said);
                })
                .get(SECONDS, TimeUnit.SECONDS);
    }

    private String ask(int i) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), 3000);
        clients.add(client);
        client.setSoTimeout(5_000);
        client.getOutputStream()
                .write(("OPEN first" + i + " key" + i + " c=order-status,d=2000,g=shop-" + i % GROUPS + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    @Test
    void theReadmesLinesServeAndSoAreThreeHundredClientsOfTwoIdleServers() throws Exception {
        List<String> lines = commandLines();
        assertThat(lines).as("the stand-ins, the relay, one connection by hand").hasSize(3);
        readUntil(type(lines.get(0)), "2 feed servers");
        Process console = type(lines.get(1));
        console.outputWriter().append("listeners\n").flush();
        readUntil(console, "lines at 127.0.0.1:3000");
        Process open = type(lines.get(2));
        assertThat(new String(open.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .toList())
                .satisfies(said -> assertThat(said.get(0)).startsWith("UP "))
                .satisfies(said -> assertThat(said.get(1)).isEqualTo("hello"))
                .hasSize(2);
        assertThat(open.waitFor()).isZero();
        List<String> refused = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String answer = ask(i);
            if (answer == null || !answer.startsWith("UP ")) {
                refused.add(answer);
            }
        }
        assertThat(refused)
                .as("of %d clients that tell no load, at idle feed servers", CLIENTS)
                .isEmpty();
    }
}
