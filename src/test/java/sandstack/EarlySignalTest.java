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

/**
 * SIGTERM and SIGKILL during the startup of a relay: right after a given log line, and at times stepped over the whole
 * startup. Each accepted client gets exactly one response, and a migration if it was established; the next process can
 * bind the address.
 */
@Timeout(90)
class EarlySignalTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Pattern LISTENER_OPENED =
            Pattern.compile("listener opened relay=\\S+ protocol=lines address=127.0.0.1:([0-9]+)");
    private static final int SIGTERM_EXIT_CODE = 128 + 15;
    /**
     * Printed by the JVM, with exit code 1, if the signal arrives before it has initialized and thus before any code of
     * the relay runs.
     */
    private static final String JVM_NOT_INITIALIZED = "Error occurred during initialization of VM";
    /**
     * Number of signal times; they are spread evenly from the process start to twice the time of the first connection.
     */
    private static final int SIGNAL_TIMES = 12;
    /** Number of processes in parallel; limited for small machines. */
    private static final int PARALLEL_STARTS = 3;
    /** How long clients continue to connect after SIGTERM. */
    private static final long CONNECTING_AFTER_SIGNAL_MILLIS = 300;

    @TempDir
    Path folder;

    private TestServerLoop testServerLoop;
    private FakeDiscovery discovery;
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final List<Process> started = new ArrayList<>();

    @BeforeEach
    void startTestServers() throws IOException {
        testServerLoop = new TestServerLoop();
        discovery = testServerLoop.create(() -> new FakeDiscovery(testServerLoop));
        for (int i = 1; i <= 2; i++) {
            String uid = "toy-" + i;
            servers.add(testServerLoop.create(
                    () -> new FakeFeedServer(testServerLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        testServerLoop.run(() -> servers.forEach(s -> discovery.publish(s, "box", 1, "ready")));
    }

    @AfterEach
    void stop() {
        started.forEach(Process::destroyForcibly);
        testServerLoop.close();
    }

    /**
     * The example configuration with the test's feed servers and discovery. The deadlines of 300 ms let a relay that
     * has served clients terminate within 1 s.
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

    private Process startSignalled(String config, String... args) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(List.of(
                RelayLauncher.java(), "-cp", System.getProperty("java.class.path"), "sandstack.SignalledStart"));
        command.addAll(List.of(args));
        ProcessBuilder processBuilder = new ProcessBuilder(command).redirectErrorStream(true);
        processBuilder.environment().putAll(Map.of("PROXY_CONFIG", file.toString()));
        Process process = processBuilder.start();
        started.add(process);
        return process;
    }

    /**
     * Sends one request and returns the lines received until the end of the connection; after an error, its text last.
     */
    private static List<String> exchange(Socket client, String id, int millis) {
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

    /** Whether these are one rejection or error, or {@code UP} followed by {@code MOVE}. */
    private static boolean isOneResponse(List<? extends String> received) {
        String first = received.isEmpty() ? "" : received.get(0);
        // ERR: the deadline expired, which may happen on an overloaded machine
        return (received.size() == 1 && (first.startsWith("BUSY") || first.equals("ERR")))
                || (received.size() == 2
                        && first.startsWith("UP ")
                        && received.get(1).equals("MOVE"));
    }

    /**
     * Guards against a shutdown hook that is registered after the listener is open: clients that connected in between
     * were reset without MOVE.
     */
    @Test
    void aSignalRightAfterTheListenerIsOpenMigratesTheClientThatConnected() throws Exception {
        Process relay = startSignalled(config(discovery.port()), "protocol=lines", "input");
        BufferedReader log = relay.inputReader();
        Matcher listenerOpened = LISTENER_OPENED.matcher("");
        while (!listenerOpened.reset(log.readLine()).find()) {
            continue;
        }
        Socket client = new Socket(LOOPBACK, Integer.parseInt(listenerOpened.group(1)));
        CompletableFuture<List<String>> receivedLines =
                CompletableFuture.supplyAsync(() -> exchange(client, "first", 3_000));
        relay.getOutputStream().write('\n');
        relay.getOutputStream().flush();
        assertThat(receivedLines.get(20, TimeUnit.SECONDS)).matches(EarlySignalTest::isOneResponse);
        assertThat(log.lines().toList())
                .anyMatch(line -> line.contains("relay stopped"))
                .noneMatch(line -> line.contains("Exception"));
        assertThat(relay.waitFor()).isEqualTo(SIGTERM_EXIT_CODE);
    }

    /**
     * Guards against a listener that opens after SIGTERM: the clients that it accepts would be reset when the process
     * exits.
     */
    @Test
    void aSignalBeforeTheListenerIsOpenKeepsItShut() throws Exception {
        String pushed = config(RelayLauncher.freePort()).replace("on_request", "pushed");
        Process relay = startSignalled(pushed, "discovery watch failed reason=\"no connection\"");
        assertThat(relay.inputReader().lines().toList())
                .anyMatch(line -> line.contains("discovery watch failed reason=\"no connection\""))
                .noneMatch(line -> line.contains("listener opened") || line.contains("Exception"));
        assertThat(relay.waitFor()).isEqualTo(SIGTERM_EXIT_CODE);
    }

    /** One started process and the responses to the clients that connected to it. */
    private final class Start {
        final int port;
        final String name;
        final Process process;
        final ConcurrentLinkedQueue<CompletableFuture<List<String>>> clients = new ConcurrentLinkedQueue<>();

        Start(RelayLauncher launcher, String name) throws IOException {
            this.name = name;
            port = RelayLauncher.freePort();
            Path file = Files.writeString(folder.resolve(name + ".json"), config(discovery.port()));
            process = launcher.startAt(port, name, file);
        }

        /** Connects clients at an interval of 2 ms until this time or the exit of the process. */
        void connectUntil(long nanos) throws Exception {
            while (System.nanoTime() < nanos && process.isAlive()) {
                connect();
                Thread.sleep(2);
            }
        }

        void connectFirst() throws Exception {
            for (long end = nanosAfter(20_000); clients.isEmpty() && System.nanoTime() < end; ) {
                connect();
            }
            assertThat(clients).as("clients that connected to " + name).isNotEmpty();
        }

        private void connect() throws IOException {
            try {
                Socket client = new Socket(LOOPBACK, port);
                String id = "id" + clients.size();
                clients.add(CompletableFuture.supplyAsync(() -> exchange(client, id, 300), task -> {
                    Thread thread = new Thread(task);
                    thread.setDaemon(true);
                    thread.start();
                }));
            } catch (ConnectException e) {
                // not listening yet, or no longer
            }
        }
    }

    private static long nanosAfter(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Sends SIGTERM and checks the log, the exit code and that each connected client got its response. */
    private void stopGracefully(RelayLauncher launcher, Start start) throws Exception {
        start.process.destroy();
        start.connectUntil(nanosAfter(CONNECTING_AFTER_SIGNAL_MILLIS));
        assertThat(start.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        String log = launcher.log(start.name);
        if (log.startsWith(JVM_NOT_INITIALIZED)) {
            assertThat(start.clients).isEmpty();
            return;
        }
        assertThat(start.process.exitValue()).as(start.name + ": " + log).isEqualTo(SIGTERM_EXIT_CODE);
        assertThat(log).doesNotContain("Exception", "SEVERE");
        for (CompletableFuture<List<String>> client : start.clients) {
            assertThat(client.get(20, TimeUnit.SECONDS))
                    .as("lines that a client received from " + start.name + ": " + log)
                    .matches(EarlySignalTest::isOneResponse);
        }
    }

    /** Stops a process as soon as its first client has connected; returns the milliseconds from start to connection. */
    private long stopAtFirstClient(RelayLauncher launcher) throws Exception {
        long startNanos = System.nanoTime();
        Start start = new Start(launcher, "first");
        start.connectFirst();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        stopGracefully(launcher, start);
        return elapsedMillis;
    }

    private Void stopAfter(RelayLauncher launcher, long millis) throws Exception {
        Start start = new Start(launcher, "after" + millis);
        start.connectUntil(nanosAfter(millis));
        stopGracefully(launcher, start);
        return null;
    }

    /** Each accepted client gets a response, and MOVE after UP. */
    @Test
    void aSignalAtAnyTimeOfAStartResetsNoClient() throws Exception {
        RelayLauncher launcher = new RelayLauncher(folder);
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_STARTS);
        try {
            long startupMillis = stopAtFirstClient(launcher);
            List<Future<Void>> stopped = new ArrayList<>();
            for (int step = 0; step < SIGNAL_TIMES; step++) {
                long millis = 2 * startupMillis * step / SIGNAL_TIMES;
                stopped.add(executor.submit(() -> stopAfter(launcher, millis)));
            }
            for (Future<Void> start : stopped) {
                start.get();
            }
        } finally {
            executor.shutdownNow();
            launcher.stop();
        }
    }

    /** A process that was killed leaves nothing behind that prevents the next one from binding its address. */
    @Test
    void aKillAtAnyTimeOfAStartLeavesTheAddressFree() throws Exception {
        RelayLauncher launcher = new RelayLauncher(folder);
        try {
            long startupMillis = stopAtFirstClient(launcher);
            for (int step = 0; step < 4; step++) {
                Start killed = new Start(launcher, "killed" + step);
                killed.connectUntil(nanosAfter(startupMillis * step / 2));
                killed.process.destroyForcibly();
                assertThat(killed.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                String next = "next" + step;
                Process process = launcher.startAt(killed.port, next, folder.resolve(killed.name + ".json"));
                assertThat(launcher.port(next)).isEqualTo(killed.port);
                Socket client = new Socket(LOOPBACK, killed.port);
                CompletableFuture<List<String>> receivedLines =
                        CompletableFuture.supplyAsync(() -> exchange(client, "next", 300));
                process.destroy();
                assertThat(receivedLines.get(20, TimeUnit.SECONDS)).matches(EarlySignalTest::isOneResponse);
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                assertThat(launcher.log(next)).contains("relay stopped").doesNotContain("Exception", "SEVERE");
            }
        } finally {
            launcher.stop();
        }
    }
}
