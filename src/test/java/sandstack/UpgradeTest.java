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
import sandstack.standin.Discovery;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.StandInLoop;

/** An upgrade under load: real processes that inherit the clients' listening socket. */
@Timeout(60)
class UpgradeTest {
    @TempDir
    Path folder;

    private final StandInLoop yard;
    private final Discovery discovery;
    private final List<FeedServer> servers = new ArrayList<>();
    private final Queue<String> answers = new ConcurrentLinkedQueue<>();
    private final Queue<String> ends = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private SocketHolder holder;

    UpgradeTest() throws IOException {
        yard = new StandInLoop();
        discovery = yard.make(() -> new Discovery(yard));
        for (int i = 0; i < 2; i++) {
            String uid = "s" + i;
            servers.add(yard.make(() -> new FeedServer(yard, uid, "home", Machine.IDLE)));
            yard.run(() -> discovery.list(servers.get(servers.size() - 1), "box", 1, "ready"));
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
        yard.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        }
    }

    /** One more process of the relay, and the port of its door. */
    private record Started(ProcessHandle process, int door) {}

    private Started start(String name) throws Exception {
        Started started = begin(name);
        // awaited, not slept on: the door refuses until the process listens and says NAK until it can serve
        while (!call(started.door(), "PING").startsWith("ACK")) {
            assertThat(started.process().isAlive())
                    .as("relay " + name + ": " + log(name))
                    .isTrue();
            Thread.onSpinWait();
        }
        return started;
    }

    private Started begin(String name) throws Exception {
        Map<String, String> env = new HashMap<>();
        int door = freePort();
        env.put("PROXY_CONFIG", folder.resolve("config.json").toString());
        env.put("PROXY_SOCKET_FD", "0");
        env.put("PROXY_OPERATOR", "127.0.0.1:" + door);
        env.put("TMPDIR", folder.resolve("tmp").toString());
        return new Started(holder.relay(name, env), door);
    }

    private String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    private static String call(int door, String call) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), door)) {
            socket.getOutputStream().write((call + "\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** A client that stays until it is told to go; it tells its answer and how it ended. */
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
                ends.add(last);
            } catch (IOException e) {
                ends.add(e.toString());
            }
        });
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
    }

    @Test
    void nobodyIsTurnedBackWhileOneProcessTakesOverFromAnother() throws Exception {
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
                .as("it reckons with the other before it takes anybody")
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
        assertThat(ends).hasSize(number).containsOnly("MOVE");
        long setups = servers.stream()
                .mapToLong(server -> yard.on(server::books).setups())
                .sum();
        assertThat(setups).as("no attempt but the one that stood").isEqualTo(number);
    }

    /** The new process dies before its yes, as often as it likes: the old one serves on, and no files pile up. */
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
            assertThat(call(old.door(), "PING")).startsWith("ACK");
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
        assertThat(call(old.door(), "INFO"))
                .contains(
                        "edge_proxy.responses.order-status.ok=3\r\n",
                        "edge_proxy.active=3\r\n",
                        "edge_proxy.pool_size=2\r\n")
                .endsWith("--\r\n");
        old.process().destroy();
        // figures are told while it drains, and then it is not there any more
        assertThat(call(old.door(), "INFO")).startsWith("ACK\r\n");
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
