import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: the record, a temporary folder, free ports, and a relay that is started as the platform starts
 * it. The process ends at the latest after the time limit, and ends all relays that it started.
 */
final class Bench implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    private static final long TIME_LIMIT_MILLIS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path project = Path.of(System.getProperty("project"));
    final Path folder;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> relays = new ArrayList<>();
    /** Set once the case has its result: what the end of the relays causes is not recorded. */
    private volatile boolean complete;

    Bench(String caseFolder) throws IOException {
        record = Files.newBufferedWriter(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        Thread limit = new Thread(() -> {
            sleep(TIME_LIMIT_MILLIS);
            note("time limit reached");
            System.exit(CANNOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        note("trouble=" + (trouble ? 1 : 0));
    }

    /** A case: returns HELD or BROKEN. */
    interface Case {
        int run(Bench bench) throws Exception;
    }

    static void main(String caseFolder, Case test) {
        int code = CANNOT_RUN;
        try (Bench bench = new Bench(caseFolder)) {
            try {
                code = test.run(bench);
            } catch (Exception e) {
                bench.note("the case could not run: " + e);
            }
            bench.note("exit code " + code);
            bench.complete = true;
        } catch (IOException e) {
            System.err.println("no record can be written: " + e);
        }
        System.exit(code);
    }

    synchronized void note(String text) {
        if (complete) {
            return;
        }
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        try {
            record.write(String.format("%7d ms  %s%n", millis, text));
            record.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void daemon(String name, ThrowingRunnable task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // a connection of a stand-in has ended
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** The value of a key of deploy/balancer.toml. */
    private String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(project.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.indexOf('"', line.indexOf('"') + 1));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /**
     * A copy of the repository's root for a relay: the build's target folder, and the files under deploy/, in which
     * one file may be replaced.
     */
    Path root(String replacedDeployFile, String content) throws IOException {
        Path root = Files.createDirectories(folder.resolve("root"));
        Files.createSymbolicLink(root.resolve("target"), project.resolve("target"));
        Path deploy = Files.createDirectories(root.resolve("deploy"));
        try (Stream<Path> files = Files.list(project.resolve("deploy"))) {
            for (Path file : (Iterable<Path>) files.filter(Files::isRegularFile)::iterator) {
                Files.copy(file, deploy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        Files.writeString(deploy.resolve(replacedDeployFile), content);
        return root;
    }

    /**
     * Starts a relay with the `run` command of the deploy file, and waits until it answers PING with PONG.
     *
     * @param index number of this relay among {@code relayCount} ones
     */
    Process startRelay(Path root, int index, int relayCount, int port, Discovery discovery) throws Exception {
        String name = "n" + index;
        int discoveryPort = discovery.port();
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, config(index, relayCount, port, discoveryPort, discovery.wholeList()));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("PROXY_NAME", name);
        environment.put("PROXY_LISTEN", "127.0.0.1:" + port);
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryPort);
        environment.put("PROXY_CONFIG", config.toString());
        environment.put("TMPDIR", Files.createDirectories(folder.resolve("tmp-" + name)).toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        Process relay = builder.start();
        synchronized (relays) {
            relays.add(relay);
        }
        note("relay " + name + " started, pid " + relay.pid());
        long endNanos = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < endNanos && relay.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readNBytes(6);
                if (new String(answer, StandardCharsets.US_ASCII).equals("PONG\r\n")) {
                    note("relay " + name + " has answered PONG");
                    return relay;
                }
            } catch (IOException e) {
                sleep(50);
            }
        }
        throw new IOException("the relay did not get ready; log: " + Files.readString(folder.resolve(name + ".log")));
    }

    /** Copies what the relay logged to the record. */
    void noteLog(String name) throws IOException {
        for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
            note("log of relay " + name + ": " + line);
        }
    }

    /** The configuration of one relay of a small deployment with one zone. */
    private static String config(int index, int relayCount, int port, int discoveryPort, String known) {
        String name = "n" + index;
        String classes = String.join(
                ",",
                requestClass("order-status", 500_000, 3_000_000, 5),
                requestClass("catalogue-feed", 500_000, 3_000_000, 1),
                requestClass("stock-check", 300_000, 1_800_000, 5));
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1L << 60) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ","
                + "\"settings\":{\"caps\":{\"cancelling\":true,\"conn_idle_us\":15000000,"
                + "\"connect_timeout_us\":100000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":8000,"
                + "\"max_attempts\":6,\"max_open\":1000000,\"max_retry_after_us\":1500000,\"peers\":false,"
                + "\"probes\":false,\"retry_after\":false,\"second_copies\":false,\"streams_per_conn\":1048576},"
                + "\"classes\":[" + classes + "],\"clients\":{\"marks_retry\":true},"
                + "\"contract\":{\"ask_every_us\":10000000,\"cold_from\":0.13,\"drain_grace_us\":300000,"
                + "\"grace_to_answer_us\":16000,\"tip_after_us\":1500000,\"tip_multiple\":3.0,"
                + "\"warm_after_us\":23000000},"
                + "\"costs\":{\"cross_zone\":0.1,\"late_fail\":0.035,\"moves\":0.012,\"waste\":0.15},"
                + "\"family\":\"conn\",\"family_info\":{\"groups\":true,"
                + "\"message_aim_us\":[150000.0,150000.0,150000.0],\"mode\":\"proxy\",\"park_us\":0,"
                + "\"tells_delay\":true,\"tells_load\":true,\"tenant_quota_connections\":[]},"
                + "\"kinds\":[\"new-box\"],\"layer\":0,\"locality\":0,\"me\":" + index + ","
                + "\"membership_mode\":\"on_request\",\"over_share_worth\":0.1,\"period_us\":4000,"
                + "\"report\":{\"columns\":[],\"source\":\"off\"},\"siblings\":" + relayCount + ",\"tenants\":[],"
                + "\"tiers\":[\"live-servers\"],\"weights\":\"rough\",\"worth_by\":\"request\","
                + "\"zones\":[\"ulaanbaatar\"]}}";
    }

    private static String requestClass(String name, long goalMicros, long deadlineMicros, int gain) {
        return "{\"name\":\"" + name + "\",\"deadline_us\":" + deadlineMicros + ",\"goal_time_us\":" + goalMicros
                + ",\"gain\":" + gain + ",\"dedup_window_us\":5000000,\"group\":\"all\",\"idempotency\":\"safe\","
                + "\"late_worth\":0.0,\"stream\":true}";
    }

    /** Sends SIGTERM to the relay, or SIGKILL; the shell has replaced itself by the relay (`exec`). */
    static void signal(Process relay, String name) throws Exception {
        new ProcessBuilder("/bin/kill", "-" + name, Long.toString(relay.pid())).start().waitFor();
    }

    private void cleanUp() {
        synchronized (relays) {
            for (Process relay : relays) {
                relay.destroyForcibly();
                try {
                    relay.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // nothing is left to delete
        }
    }

    @Override
    public void close() throws IOException {
        // the record stays open for the threads that still run; each note is flushed
    }
}
