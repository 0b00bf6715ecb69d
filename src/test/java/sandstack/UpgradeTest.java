package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** An upgrade under load: real processes that inherit the clients' listening socket. */
@Timeout(60)
class UpgradeTest {
    @TempDir
    Path folder;

    private final TestServerLoop standInLoop;
    private final FakeDiscovery discovery;
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final Queue<String> answers = new ConcurrentLinkedQueue<>();
    private final Queue<String> lastLines = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private SocketHolder holder;

    UpgradeTest() throws IOException {
        standInLoop = new TestServerLoop();
        discovery = standInLoop.create(() -> new FakeDiscovery(standInLoop));
        for (int i = 0; i < 2; i++) {
            String uid = "s" + i;
            servers.add(
                    standInLoop.create(() -> new FakeFeedServer(standInLoop, uid, "home", ServerProfile.UNLIMITED)));
            standInLoop.run(() -> discovery.publish(servers.get(servers.size() - 1), "box", 1, "ready"));
        }
    }

    @BeforeEach
    void hold() throws Exception {
        holder = new SocketHolder(folder);
        Files.writeString(
                folder.resolve("config.json"),
                Files.readString(Path.of("examples/config.json"))
                        .replaceFirst("(\"discovery\": *)\"[^\"]*\"", "$1\"127.0.0.1:" + discovery.port() + "\"")
                        .replaceFirst("\"known\": *\\{[^]]*]\\s*},", ""));
        Files.createDirectory(folder.resolve("tmp"));
    }

    @AfterEach
    void end() throws Exception {
        holder.close();
        standInLoop.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        }
    }

    /** One more process of the relay, and the port of its operator endpoint. */
    private record Started(ProcessHandle process, int operatorPort) {}

    private Started start(String name) throws Exception {
        Started started = begin(name);
        // polled, not slept on: connections are refused until the process listens, and PING is answered NAK until it
        // can serve
        while (!call(started.operatorPort(), "PING").startsWith("ACK")) {
            assertThat(started.process().isAlive())
                    .as("relay " + name + ": " + log(name))
                    .isTrue();
            Thread.onSpinWait();
        }
        return started;
    }

    private Started begin(String name) throws Exception {
        Map<String, String> env = new HashMap<>();
        int operatorPort = freePort();
        env.put("PROXY_CONFIG", folder.resolve("config.json").toString());
        env.put("PROXY_SOCKET_FD", "0");
        env.put("PROXY_OPERATOR", "127.0.0.1:" + operatorPort);
        env.put("TMPDIR", folder.resolve("tmp").toString());
        return new Started(holder.relay(name, env), operatorPort);
    }

    private String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    private static String call(int operatorPort, String call) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), operatorPort)) {
            socket.getOutputStream().write((call + "\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** A client that stays until it is migrated; it records its answer and its last line. */
    private void client(int number) throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), holder.port());
        socket.getOutputStream()
                .write(("OPEN id" + number + " key" + number + " c=order-status,d=3000\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        Thread thread = new Thread(() -> {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                String answer = in.readLine();
                answers.add(String.valueOf(answer));
                String last = answer;
                for (String line = answer; line != null; line = in.readLine()) {
                    last = line;
                }
                lastLines.add(last);
            } catch (IOException e) {
                lastLines.add(e.toString());
            }
        });
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
    }

    @Test
    void noRequestIsRejectedWhileOneProcessTakesOverFromAnother() throws Exception {
        Started first = start("first");
        int number = 0;
        for (; number < 20; number++) {
            client(number);
        }
        Started second = start("second");
        for (; number < 40; number++) {
            client(number);
        }
        first.process().destroy();
        while (first.process().isAlive()) {
            client(number++);
            Thread.sleep(10);
        }
        assertThat(log("second"))
                .as("it counts the other process before it accepts a client")
                .containsSubsequence(
                        "process count changed count=2",
                        "endpoint list received from sibling process count=2",
                        " protocol=lines socket=inherited port=");
        Started third = start("third");
        second.process().destroy();
        second.process().onExit().get(20, TimeUnit.SECONDS);
        third.process().destroy();
        for (Thread client : clients) {
            client.join(20_000);
        }
        assertThat(answers).hasSize(number).allMatch(answer -> answer.startsWith("UP "));
        assertThat(lastLines).hasSize(number).containsOnly("MOVE");
        long setups = servers.stream()
                .mapToLong(server -> standInLoop.call(server::counters).setups())
                .sum();
        assertThat(setups).as("no attempt but the one that stood").isEqualTo(number);
    }

    /** The new process dies before its ACK, several times: the old one serves on, and files do not accumulate. */
    @Test
    void anUpgradeThatFailsChangesNothing() throws Exception {
        Started old = start("old");
        for (int i = 0; i < 3; i++) {
            Started dying = begin("dying" + i);
            while (!log("dying" + i).contains("protocol=operators address=")) {
                assertThat(dying.process().isAlive()).isTrue();
                Thread.onSpinWait();
            }
            dying.process().destroyForcibly();
            dying.process().onExit().get(20, TimeUnit.SECONDS);
            assertThat(call(old.operatorPort(), "PING")).startsWith("ACK");
            client(i);
        }
        while (answers.size() < 3) {
            Thread.onSpinWait();
        }
        assertThat(answers).allMatch(answer -> answer.startsWith("UP "));
        try (java.util.stream.Stream<Path> files = Files.list(folder.resolve("tmp"))) {
            assertThat(files)
                    .as("of the old process two, of each dead one at most three")
                    .hasSizeLessThanOrEqualTo(11);
        }
        assertThat(call(old.operatorPort(), "INFO"))
                .contains(
                        "edge_proxy.responses.order-status.ok=3\r\n",
                        "edge_proxy.active=3\r\n",
                        "edge_proxy.pool_size=2\r\n")
                .endsWith("--\r\n");
        old.process().destroy();
        // metrics are reported while it drains, until it has ended
        assertThat(call(old.operatorPort(), "INFO")).startsWith("ACK\r\n");
        old.process().onExit().get(20, TimeUnit.SECONDS);
        assertThat(log("old")).contains("relay stopped").doesNotContain("SEVERE");
    }

    @Test
    void aDescriptorThatCannotBeUsedEndsTheStartWithALineThatNamesTheVariable() throws Exception {
        for (String descriptor : List.of("0", "7", "x")) {
            ProcessBuilder program = new ProcessBuilder(
                            SocketHolder.java(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "sandstack.Main",
                            "serve")
                    .redirectErrorStream(true)
                    .redirectInput(Path.of("/dev/null").toFile());
            program.environment().put("PROXY_CONFIG", "examples/config.json");
            program.environment().put("PROXY_SOCKET_FD", descriptor);
            Process relay = program.start();
            assertThat(new String(relay.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines())
                    .hasSize(1)
                    .allMatch(line -> line.startsWith("serve: PROXY_SOCKET_FD is " + descriptor));
            assertThat(relay.waitFor()).isEqualTo(2);
        }
    }
}
