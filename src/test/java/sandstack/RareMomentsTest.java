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

/** The program in rare situations: all descriptors in use while discovery is down, all relays restarted at once. */
@Isolated("takes a core and every descriptor, and would starve the members that other tests start meanwhile")
@Timeout(120)
class RareMomentsTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int DESCRIPTORS = 128;
    /** Descriptors of the idle program as shipped; the class path of the tests keeps more jars open. */
    private static final int IDLE = 22;

    @TempDir
    Path folder;

    private Program program;

    @BeforeEach
    void make() throws Exception {
        program = new Program(folder);
    }

    @AfterEach
    void stop() {
        program.stop();
    }

    /** The kernel enforces the limit too: descriptors beyond it cannot be opened. */
    @Test
    void reconnectsToDiscoveryWhileIdleClientsUseEveryDescriptorTheyMay() throws Exception {
        int port = Program.freePort();
        Process relay = program.start("", "full", program.config("full", port, DESCRIPTORS));
        int clients = program.port("full");
        program.awaitLogged("full", "discovery watch failed reason=\"no connection\"");
        long limit = DESCRIPTORS + open(relay) - IDLE;
        assertThat(new ProcessBuilder("prlimit", "--pid", "" + relay.pid(), "--nofile=" + limit + ":" + limit)
                        .start()
                        .waitFor())
                .isZero();
        List<Socket> idle = new ArrayList<>();
        // each closed connection makes room for the next: the table stays full while clients connect
        Thread crowd = new Thread(() -> {
            try {
                for (int i = 0; i < 4_000; i++) {
                    idle.add(new Socket(LOOPBACK, clients));
                    if (i >= 2 * DESCRIPTORS) {
                        idle.get(i - 2 * DESCRIPTORS).close();
                        Thread.sleep(2);
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the test has ended
            }
        });
        crowd.setDaemon(true);
        crowd.start();
        while (open(relay) < limit - 48 + IDLE) {
            Thread.onSpinWait();
        }
        try (ServerSocket discovery = new ServerSocket()) {
            discovery.setReuseAddress(true);
            discovery.bind(new InetSocketAddress(LOOPBACK, port));
            discovery.setSoTimeout(20_000);
            long back = System.nanoTime();
            try (Socket call = discovery.accept()) {
                assertThat(new BufferedReader(new InputStreamReader(call.getInputStream(), StandardCharsets.UTF_8))
                                .readLine())
                        .startsWith("GET /registry/instances?watch=1");
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - back)).isLessThan(6_000);
        }
        assertThat(crowd.isAlive()).as("the crowd was still coming").isTrue();
        crowd.interrupt();
        assertThat(relay.isAlive()).isTrue();
        assertThat(program.log("full")).doesNotContain("Too many open files", "SEVERE");
    }

    private static long open(Process relay) throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + relay.pid() + "/fd"))) {
            return descriptors.count();
        }
    }

    @Test
    void tenRestartedAtOnceOnOneCoreAreReadyWithin10Seconds() throws Exception {
        String allowed = Files.readString(Path.of("/proc/self/status"))
                .lines()
                .filter(line -> line.startsWith("Cpus_allowed_list:"))
                .findFirst()
                .orElseThrow();
        String core = allowed.replaceAll(".*[^0-9]([0-9]+)\\s*$", "$1");
        int discovery = Program.freePort();
        long start = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            program.start("taskset -c " + core, "n" + i, program.config("n" + i, discovery, 1024));
        }
        for (int i = 0; i < 10; i++) {
            try (Socket front = new Socket(LOOPBACK, program.port("n" + i))) {
                front.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.UTF_8));
                assertThat(new BufferedReader(new InputStreamReader(front.getInputStream(), StandardCharsets.UTF_8))
                                .readLine())
                        .isEqualTo("PONG");
            }
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
                .as("ms until all ten answer")
                .isLessThan(10_000);
    }
}
