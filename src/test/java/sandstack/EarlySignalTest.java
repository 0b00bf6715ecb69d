package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** SIGTERM and SIGKILL in the first second of a process: between any two lines of its start, and at stepped times. */
@Timeout(90)
class EarlySignalTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Pattern LISTENS =
            Pattern.compile("listener opened relay=\\S+ protocol=lines address=127.0.0.1:([0-9]+)");
    private static final int TERMINATED = 128 + 15;
    /** The virtual machine's own message, with exit code 1, where the signal comes before any of our code is run. */
    private static final String VIRTUAL_MACHINE_NOT_STARTED = "Error occurred during initialization of VM";
    /** A start is signalled at so many times, the last twice as late as its listener opens. */
    private static final int STEPS = 12;
    /** So many are started in parallel: no more than a small machine can run. */
    private static final int AT_ONCE = 3;
    /** After a signal to stop, clients go on connecting for so long. */
    private static final long STILL_COMING_MILLIS = 300;

    @TempDir
    Path folder;

    private TestServerLoop standInLoop;
    private FakeDiscovery discovery;
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final List<Process> started = new ArrayList<>();

    @BeforeEach
    void makeStandIns() throws IOException {
        standInLoop = new TestServerLoop();
        discovery = standInLoop.create(() -> new FakeDiscovery(standInLoop));
        for (int i = 1; i <= 2; i++) {
            String uid = "toy-" + i;
            servers.add(
                    standInLoop.create(() -> new FakeFeedServer(standInLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        standInLoop.run(() -> servers.forEach(s -> discovery.publish(s, "box", 1, "ready")));
    }

    @AfterEach
    void stop() {
        started.forEach(Process::destroyForcibly);
        standInLoop.close();
    }

    /**
     * The example's configuration with our feed servers and short deadlines: a process that has served ends within 1 s.
     */
    private String config(int discoveryPort) throws IOException {
        String text = Files.readString(Path.of("examples/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:" + discoveryPort)
                .replaceAll("\"deadline_us\": [0-9]+", "\"deadline_us\": 300000");
        for (int i = 0; i < servers.size(); i++) {
            text = text.replace(
                    "127.0.0.1:310" + (i + 1), "127.0.0.1:" + servers.get(i).port());
        }
        return text;
    }

    private Process signalled(String config, String... args) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(
                List.of(Program.java(), "-cp", System.getProperty("java.class.path"), "sandstack.SignalledStart"));
        command.addAll(List.of(args));
        ProcessBuilder program = new ProcessBuilder(command).redirectErrorStream(true);
        program.environment().putAll(Map.of("PROXY_CONFIG", file.toString()));
        Process process = program.start();
        started.add(process);
        return process;
    }

    /** The lines that a client receives for one request; an {@link IOException}'s text last where that ends them. */
    private static List<String> receivedBy(Socket client, String id, int millis) {
        List<String> lines = new ArrayList<>();
        try (client) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(("OPEN " + id + " key c=order-status,d=" + millis + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.add(line);
            }
        } catch (IOException e) {
            lines.add(e.toString());
        }
        return lines;
    }

    /** Whether a client that received these lines has its one answer, and was migrated if it was served. */
    private static boolean answered(List<? extends String> heard) {
        String first = heard.isEmpty() ? "" : heard.get(0);
        // ERR where its deadline passed: that may happen on an overloaded machine
        return (heard.size() == 1 && (first.startsWith("BUSY") || first.equals("ERR")))
                || (heard.size() == 2 && first.startsWith("UP ") && heard.get(1).equals("MOVE"));
    }

    /** A client that connected before the rest of the start was done was reset without MOVE. */
    @Test
    void aSignalRightAfterTheListenerIsOpenMigratesTheClientThatConnected() throws Exception {
        Process relay = signalled(config(discovery.port()), "protocol=lines", "input");
        BufferedReader log = relay.inputReader();
        Matcher listens = LISTENS.matcher("");
        while (!listens.reset(log.readLine()).find()) {
            continue;
        }
        Socket client = new Socket(LOOPBACK, Integer.parseInt(listens.group(1)));
        CompletableFuture<List<String>> hears = CompletableFuture.supplyAsync(() -> receivedBy(client, "first", 3_000));
        relay.getOutputStream().write('\n');
        relay.getOutputStream().flush();
        assertThat(hears.get(20, TimeUnit.SECONDS)).matches(EarlySignalTest::answered);
        assertThat(log.lines().toList())
                .anyMatch(line -> line.contains("relay stopped"))
                .noneMatch(line -> line.contains("Exception"));
        assertThat(relay.waitFor()).isEqualTo(TERMINATED);
    }

    /**
     * A process that had been told to stop opened its listener all the same, and reset the clients it accepted when it
     * ended.
     */
    @Test
    void aSignalBeforeTheListenerIsOpenKeepsItShut() throws Exception {
        String pushed = config(Program.freePort()).replace("on_request", "pushed");
        Process relay = signalled(pushed, "discovery watch failed reason=\"no connection\"");
        assertThat(relay.inputReader().lines().toList())
                .anyMatch(line -> line.contains("discovery watch failed reason=\"no connection\""))
                .noneMatch(line -> line.contains("listener opened") || line.contains("Exception"));
        assertThat(relay.waitFor()).isEqualTo(TERMINATED);
    }

    /** One start, and what became of it. */
    private final class Start {
        final int port;
        final String name;
        final Process process;
        final ConcurrentLinkedQueue<CompletableFuture<List<String>>> clients = new ConcurrentLinkedQueue<>();

        Start(Program program, String name) throws IOException {
            this.name = name;
            port = Program.freePort();
            Path file = Files.writeString(folder.resolve(name + ".json"), config(discovery.port()));
            process = program.startAt(port, name, file);
        }

        /** Connects one client after another until then, as soon as the listener is open. */
        void connectUntil(long nanos) throws Exception {
            while (System.nanoTime() < nanos && process.isAlive()) {
                connect();
                Thread.sleep(2);
            }
        }

        void connectOnce() throws Exception {
            for (long end = after(20_000); clients.isEmpty() && System.nanoTime() < end; ) {
                connect();
            }
            assertThat(clients).as("a client that came to " + name).isNotEmpty();
        }

        private void connect() throws IOException {
            try {
                Socket client = new Socket(LOOPBACK, port);
                String id = "id" + clients.size();
                clients.add(CompletableFuture.supplyAsync(() -> receivedBy(client, id, 300), task -> {
                    Thread thread = new Thread(task);
                    thread.setDaemon(true);
                    thread.start();
                }));
            } catch (ConnectException e) {
                // not listening yet, or not any more
            }
        }
    }

    private static long after(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Stops the process now; each client that connected to it has its answer. */
    private void stopGracefully(Program program, Start start) throws Exception {
        start.process.destroy();
        start.connectUntil(after(STILL_COMING_MILLIS));
        assertThat(start.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        String log = program.log(start.name);
        if (log.startsWith(VIRTUAL_MACHINE_NOT_STARTED)) {
            assertThat(start.clients).isEmpty();
            return;
        }
        assertThat(start.process.exitValue()).as(start.name + ": " + log).isEqualTo(TERMINATED);
        assertThat(log).doesNotContain("Exception", "SEVERE");
        for (CompletableFuture<List<String>> client : start.clients) {
            assertThat(client.get(20, TimeUnit.SECONDS))
                    .as("what a client heard of " + start.name + ": " + log)
                    .matches(EarlySignalTest::answered);
        }
    }

    /**
     * Stops a process as soon as its first client has connected; returns how many milliseconds after its start that
     * was.
     */
    private long stoppedAtItsFirstClient(Program program) throws Exception {
        long began = System.nanoTime();
        Start start = new Start(program, "first");
        start.connectOnce();
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        stopGracefully(program, start);
        return took;
    }

    private Void stoppedAfter(Program program, long millis) throws Exception {
        Start start = new Start(program, "after" + millis);
        start.connectUntil(after(millis));
        stopGracefully(program, start);
        return null;
    }

    /** Whenever the signal comes: each accepted client has an answer, and MOVE after UP. */
    @Test
    void aSignalAtAnyTimeOfAStartResetsNoClient() throws Exception {
        Program program = new Program(folder);
        ExecutorService starting = Executors.newFixedThreadPool(AT_ONCE);
        try {
            long listensAfter = stoppedAtItsFirstClient(program);
            List<Future<Void>> stopped = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                long millis = 2 * listensAfter * step / STEPS;
                stopped.add(starting.submit(() -> stoppedAfter(program, millis)));
            }
            for (Future<Void> start : stopped) {
                start.get();
            }
        } finally {
            starting.shutdownNow();
            program.stop();
        }
    }

    /** Nothing that a killed process leaves behind keeps the next one from its address. */
    @Test
    void aKillAtAnyTimeOfAStartLeavesRoomForTheNextProcess() throws Exception {
        Program program = new Program(folder);
        try {
            long listensAfter = stoppedAtItsFirstClient(program);
            for (int step = 0; step < 4; step++) {
                Start killed = new Start(program, "killed" + step);
                killed.connectUntil(after(listensAfter * step / 2));
                killed.process.destroyForcibly();
                assertThat(killed.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                String next = "next" + step;
                Process process = program.startAt(killed.port, next, folder.resolve(killed.name + ".json"));
                assertThat(program.port(next)).isEqualTo(killed.port);
                Socket client = new Socket(LOOPBACK, killed.port);
                CompletableFuture<List<String>> hears =
                        CompletableFuture.supplyAsync(() -> receivedBy(client, "next", 300));
                process.destroy();
                assertThat(hears.get(20, TimeUnit.SECONDS)).matches(EarlySignalTest::answered);
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                assertThat(program.log(next)).contains("relay stopped").doesNotContain("Exception", "SEVERE");
            }
        } finally {
            program.stop();
        }
    }
}
