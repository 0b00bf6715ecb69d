import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, ports, the configuration, the relay's processes and their end. */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Thrown if the case could not run; ends the test with exit code 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /** The body of a case; returns whether the rule held. */
    interface Case {
        boolean run(Kit kit) throws Exception;
    }

    private final Path root;
    private final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Kit(Path root, Path folder) throws IOException {
        this.root = root;
        this.temporary = Files.createTempDirectory("sandstack-review");
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Runs a case in at most {@code seconds}: arguments are the project's root and the case's folder. */
    static void main(String[] args, int seconds, Case body) throws Exception {
        Kit kit = new Kit(Path.of(args[0]), Path.of(args[1]));
        Thread hook = new Thread(kit::end);
        Runtime.getRuntime().addShutdownHook(hook);
        Thread watchdog = new Thread(() -> {
            sleep(seconds * 1000L);
            kit.log("the case took longer than " + seconds + " s");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            kit.log("trouble=" + (TROUBLE ? 1 : 0));
            boolean held = body.run(kit);
            code = held ? 0 : 1;
            kit.log(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (Throwable e) {
            kit.log("RESULT: the case could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private void end() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // the folder is temporary
        }
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        String text = String.format("%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, line);
        record.println(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task on a daemon thread. */
    static Thread go(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(HOST, 0), 1024);
        return socket;
    }

    /** The value of a key of deploy/balancer.toml, without its quotes. */
    private String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.indexOf('"', from));
            }
        }
        throw new CannotRun("deploy/balancer.toml has no " + key);
    }

    /**
     * A folder that looks like the project's root to the relay, with another deploy/amqp.toml: that file is the only
     * way to switch the AMQP front on.
     */
    Path rootWithAmqp(int amqpPort) throws IOException {
        return rootWith("amqp.toml", "enabled = true\nlisten = \"" + HOST + ":" + amqpPort + "\"\n");
    }

    private Path rootWith(String deployFile, String content) throws IOException {
        Path folder = temporary.resolve("root");
        Files.createDirectories(folder.resolve("deploy"));
        try (Stream<Path> files = Files.list(root.resolve("deploy"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Files.copy(file, folder.resolve("deploy").resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        Files.writeString(folder.resolve("deploy").resolve(deployFile), content);
        Files.createSymbolicLink(folder.resolve("target"), root.resolve("target").toAbsolutePath());
        return folder;
    }

    /** Starts a relay with the deploy file's command and returns its process, whose id is the relay's. */
    Process startRelay(String label, Path workingFolder, Map<String, String> environment, ProcessBuilder.Redirect input)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
        builder.directory((workingFolder == null ? root : workingFolder).toFile());
        builder.redirectErrorStream(true);
        if (input != null) {
            builder.redirectInput(input);
        }
        Path tmpdir = temporary.resolve("tmp");
        Files.createDirectories(tmpdir);
        builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
        builder.environment().put("TMPDIR", tmpdir.toString());
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        log(label + ": started with the run command of the deploy file");
        go(() -> copyLog(label, process.getInputStream()));
        return process;
    }

    void copyLog(String label, InputStream stream) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log(label + " log: " + line);
            }
        } catch (IOException e) {
            // the process has ended
        }
    }

    /** Sends SIGTERM, as the platform does at a planned restart. */
    void terminate(String label, Process process) {
        log(label + ": SIGTERM");
        process.destroy();
    }

    /** Waits until the relay answers PING with PONG. */
    void awaitPong(int port) {
        long until = millis() + 30_000;
        while (millis() < until) {
            try (Socket socket = new Socket(HOST, port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readNBytes(6);
                if (new String(answer, StandardCharsets.US_ASCII).equals("PONG\r\n")) {
                    return;
                }
            } catch (IOException e) {
                // not ready yet
            }
            sleep(50);
        }
        throw new CannotRun("the relay did not answer PING");
    }

    /** Writes a configuration in the form of the deployment page. */
    Path config(String name, int listen, int discovery, int sockets, int siblings, String known) throws IOException {
        Path file = temporary.resolve(name + ".json");
        String text = "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + listen + "\",\"discovery\":\"" + HOST + ":"
                + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":" + settings(siblings) + "}";
        Files.writeString(file, text);
        return file;
    }

    /** The settings that the wire page shows, for one zone. */
    private static String settings(int siblings) {
        return "{\"caps\":{\"cancelling\":true,\"conn_idle_us\":15000000,\"connect_timeout_us\":100000,"
                + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":8000,\"max_attempts\":6,\"max_open\":1000000,"
                + "\"max_retry_after_us\":1500000,\"peers\":false,\"probes\":false,\"retry_after\":false,"
                + "\"second_copies\":false,\"streams_per_conn\":1048576},"
                + "\"classes\":[" + requestClass("order-status", 3_000_000, 500_000, 5) + ","
                + requestClass("catalogue-feed", 3_000_000, 500_000, 1) + ","
                + requestClass("stock-check", 1_800_000, 300_000, 5) + "],"
                + "\"clients\":{\"marks_retry\":true},"
                + "\"contract\":{\"ask_every_us\":10000000,\"cold_from\":0.13,\"drain_grace_us\":300000,"
                + "\"grace_to_answer_us\":16000,\"tip_after_us\":1500000,\"tip_multiple\":3.0,\"warm_after_us\":23000000},"
                + "\"costs\":{\"cross_zone\":0.1,\"late_fail\":0.035,\"moves\":0.012,\"waste\":0.15},"
                + "\"family\":\"conn\",\"family_info\":{\"groups\":true,\"message_aim_us\":[150000.0,150000.0,150000.0],"
                + "\"mode\":\"proxy\",\"park_us\":0,\"tells_delay\":true,\"tells_load\":true,"
                + "\"tenant_quota_connections\":[]},"
                + "\"kinds\":[\"new-box\",\"old-box\"],\"layer\":0,\"locality\":0,\"me\":0,"
                + "\"membership_mode\":\"on_request\",\"over_share_worth\":0.1,\"period_us\":4000,"
                + "\"report\":{\"columns\":[],\"source\":\"off\"},\"siblings\":" + siblings + ",\"tenants\":[],"
                + "\"tiers\":[\"live-servers\"],\"weights\":\"rough\",\"worth_by\":\"request\",\"zones\":[\"ulaanbaatar\"]}";
    }

    private static String requestClass(String name, int deadline, int goal, int gain) {
        return "{\"deadline_us\":" + deadline + ",\"dedup_window_us\":5000000,\"gain\":" + gain + ",\"goal_time_us\":" + goal
                + ",\"group\":\"all\",\"idempotency\":\"safe\",\"late_worth\":0.0,\"name\":\"" + name
                + "\",\"stream\":true}";
    }

    /** Environment of a relay, as the deployment page lists it. */
    static Map<String, String> environment(String name, Path config, int listen, int discovery) {
        Map<String, String> environment = new TreeMap<>();
        environment.put("PROXY_CONFIG", config.toString());
        environment.put("PROXY_NAME", name);
        environment.put("PROXY_LISTEN", HOST + ":" + listen);
        environment.put("PROXY_DISCOVERY", HOST + ":" + discovery);
        return environment;
    }
}
