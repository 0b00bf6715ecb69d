package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** Relays short of a resource: all descriptors in use while discovery is down, and ten relays started on one core. */
@Isolated(
        "uses a whole core and all descriptors of a relay; fleet members of parallel tests would get too little CPU time")
@Timeout(120)
class ResourceExhaustionTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Configured limit on the descriptors of a relay. */
    private static final int DESCRIPTORS = 128;
    /**
     * Descriptors that an idle relay has open as shipped. With the test class path it has more jars open, which the
     * test adds to the limit.
     */
    private static final int IDLE_DESCRIPTORS = 22;

    @TempDir
    Path folder;

    private RelayLauncher launcher;

    @BeforeEach
    void createLauncher() throws Exception {
        launcher = new RelayLauncher(folder);
    }

    @AfterEach
    void stop() {
        launcher.stop();
    }

    /**
     * The kernel enforces the limit too ({@code prlimit}): a relay that exceeds it fails with "Too many open files".
     */
    @Test
    void reconnectsToDiscoveryWhileIdleClientsUseEveryDescriptorTheyMay() throws Exception {
        int port = RelayLauncher.freePort();
        Process relay = launcher.start("", "full", launcher.config("full", port, DESCRIPTORS));
        int clientPort = launcher.port("full");
        launcher.awaitLogged("full", "discovery watch failed reason=\"no connection\"");
        long limit = DESCRIPTORS + openDescriptors(relay) - IDLE_DESCRIPTORS;
        assertThat(new ProcessBuilder("prlimit", "--pid", "" + relay.pid(), "--nofile=" + limit + ":" + limit)
                        .start()
                        .waitFor())
                .isZero();
        List<Socket> idle = new ArrayList<>();
        // each closed connection frees a descriptor for the next, so that all stay in use
        Thread idleClients = new Thread(() -> {
            try {
                for (int i = 0; i < 4_000; i++) {
                    idle.add(new Socket(LOOPBACK, clientPort));
                    if (i >= 2 * DESCRIPTORS) {
                        idle.get(i - 2 * DESCRIPTORS).close();
                        Thread.sleep(2);
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the test has ended
            }
        });
        idleClients.setDaemon(true);
        idleClients.start();
        // RelayService reserves 48 descriptors for other uses than connections; an idle relay has 22 of them open
        while (openDescriptors(relay) < limit - 48 + IDLE_DESCRIPTORS) {
            Thread.onSpinWait();
        }
        try (ServerSocket discovery = new ServerSocket()) {
            discovery.setReuseAddress(true);
            discovery.bind(new InetSocketAddress(LOOPBACK, port));
            discovery.setSoTimeout(20_000);
            long recoveryNanos = System.nanoTime();
            try (Socket connection = discovery.accept()) {
                assertThat(new BufferedReader(
                                        new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8))
                                .readLine())
                        .startsWith("GET /registry/instances?watch=1");
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveryNanos))
                    .isLessThan(6_000);
        }
        assertThat(idleClients.isAlive()).as("clients still connecting").isTrue();
        idleClients.interrupt();
        assertThat(relay.isAlive()).isTrue();
        assertThat(launcher.log("full")).doesNotContain("Too many open files", "SEVERE");
    }

    private static long openDescriptors(Process relay) throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + relay.pid() + "/fd"))) {
            return descriptors.count();
        }
    }

    @Test
    void tenRelaysStartedAtOnceOnOneCoreRespondWithin10Seconds() throws Exception {
        String allowed = Files.readString(Path.of("/proc/self/status"))
                .lines()
                .filter(line -> line.startsWith("Cpus_allowed_list:"))
                .findFirst()
                .orElseThrow();
        String core = allowed.replaceAll(".*[^0-9]([0-9]+)\\s*$", "$1");
        int discovery = RelayLauncher.freePort();
        long start = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            launcher.start("taskset -c " + core, "n" + i, launcher.config("n" + i, discovery, 1024));
        }
        for (int i = 0; i < 10; i++) {
            try (Socket client = new Socket(LOOPBACK, launcher.port("n" + i))) {
                client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.UTF_8));
                assertThat(new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8))
                                .readLine())
                        .isEqualTo("PONG");
            }
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
                .as("milliseconds until all ten relays respond")
                .isLessThan(10_000);
    }
}
