package sandstack.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A relay process, started with the command line {@code run} of deploy/balancer.toml. Its configuration and deploy
 * folder are in a temporary folder, which {@link #close} deletes. A daemon thread reads the log of the process.
 */
public final class RelayProcess implements AutoCloseable {
    /** The jar that a build in the working directory produces. */
    public static final Path BUILT_JAR = Path.of("target/sandstack.jar");

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Log line with the port for clients. Also matches the log line of older builds, to which a build is compared. */
    private static final Pattern LISTENING_LINE = Pattern.compile(
            "(?:listener opened relay=.* protocol=lines address=|listens for lines at )[^ ]*:([0-9]+)$");

    private static final long START_TIMEOUT_SECONDS = 20;
    private static final List<String> REQUEST_CLASSES = List.of("order-status", "catalogue-feed", "stock-check");

    /**
     * The configuration of a relay process.
     *
     * @param name name of the relay
     * @param index index of the relay among all relays, from zero
     * @param relayCount number of all relays
     * @param zones names of all zones
     * @param homeZone index in {@code zones} of the relay's zone
     * @param discoveryPort port of discovery on loopback
     * @param knownEndpoints initial endpoint list
     * @param maxDescriptors maximum number of file descriptors in the configuration
     * @param deployFiles contents of the files in the deploy folder, by file name
     * @param jvmOptions JVM options in addition to those of {@code run}
     */
    public record Setup(
            String name,
            int index,
            int relayCount,
            List<String> zones,
            int homeZone,
            int discoveryPort,
            ObjectNode knownEndpoints,
            int maxDescriptors,
            Map<String, String> deployFiles,
            List<String> jvmOptions) {}

    private final Process process;
    private final Path folder;
    private final int port;
    private final Queue<String> log = new ConcurrentLinkedQueue<>();

    /**
     * Starts a relay from this jar and blocks until it listens.
     *
     * @throws IOException if the process exits or does not listen within 20 s; the message contains its log
     */
    public RelayProcess(Path jar, Setup setup) throws IOException {
        folder = Files.createTempDirectory("sandstack-relay");
        process = processBuilder(jar, setup).start();
        CompletableFuture<Integer> listeningPort = new CompletableFuture<>();
        Thread reader = new Thread(() -> readLog(listeningPort), setup.name() + "-log");
        reader.setDaemon(true);
        reader.start();
        try {
            port = listeningPort.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            close();
            throw new IOException("the relay did not start; its log: " + String.join(" | ", log), e);
        }
    }

    private ProcessBuilder processBuilder(Path jar, Setup setup) throws IOException {
        Path deploy = Files.createDirectory(folder.resolve("deploy"));
        for (Map.Entry<String, String> file : setup.deployFiles().entrySet()) {
            Files.writeString(deploy.resolve(file.getKey()), file.getValue());
        }
        Path config =
                Files.writeString(folder.resolve("config.json"), config(setup).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(jar, deploy, setup));
        builder.environment().put("PROXY_CONFIG", config.toString());
        for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
            builder.environment().remove(variable);
        }
        return builder.redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
    }

    private static String command(Path jar, Path deploy, Setup setup) throws IOException {
        String options = "-Dsandstack.deploy=" + deploy + " " + String.join(" ", setup.jvmOptions());
        // the relay reads stated capacities from its own deploy folder
        String run = RelayCommandLine.read().replaceFirst(" --capacity \\S+", "");
        // the class data archive is valid for one jar only; the JVM ignores it for another jar
        return run.replace("-jar target/sandstack.jar", options + " -jar " + jar.toAbsolutePath());
    }

    private void readLog(CompletableFuture<Integer> listeningPort) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.add(line);
                Matcher matcher = LISTENING_LINE.matcher(line);
                if (matcher.find()) {
                    listeningPort.complete(Integer.parseInt(matcher.group(1)));
                }
            }
        } catch (IOException e) {
            log.add("reading the log failed: " + e.getMessage());
        }
        listeningPort.completeExceptionally(new IOException("the relay exited"));
    }

    private static ObjectNode config(Setup setup) throws IOException {
        ObjectNode root = JSON.createObjectNode()
                .put("name", setup.name())
                .put("listen", "127.0.0.1:" + freePort())
                .put("discovery", "127.0.0.1:" + setup.discoveryPort())
                .put("seed", Long.toHexString(7919L * setup.index() + 11));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", setup.maxDescriptors());
        root.set("known", setup.knownEndpoints());
        root.set("settings", settings(setup));
        return root;
    }

    /** A free port; port 0 is not used because older builds do not log the port that the system assigned. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static ObjectNode settings(Setup setup) {
        ObjectNode settings = JSON.createObjectNode();
        settings.putObject("caps")
                .put("cancelling", true)
                .put("connect_timeout_us", 100_000)
                .put("max_attempts", 6)
                .put("max_retry_after_us", 1_500_000)
                .put("retry_after", false);
        ArrayNode classes = settings.putArray("classes");
        REQUEST_CLASSES.forEach(name -> addRequestClass(classes, name));
        settings.putObject("contract")
                .put("ask_every_us", 10_000_000)
                .put("cold_from", 0.13)
                .put("drain_grace_us", 300_000)
                .put("tip_after_us", 1_500_000)
                .put("tip_multiple", 3.0)
                .put("warm_after_us", 23_000_000);
        settings.putObject("costs").put("cross_zone", 0.1).put("moves", 0.012);
        ObjectNode family =
                settings.putObject("family_info").put("groups", true).put("mode", "proxy");
        REQUEST_CLASSES.forEach(name -> family.withArray("message_aim_us").add(150_000.0));
        settings.put("locality", setup.homeZone())
                .put("me", setup.index())
                .put("membership_mode", "on_request")
                .put("siblings", setup.relayCount());
        setup.zones().forEach(settings.putArray("zones")::add);
        return settings;
    }

    private static void addRequestClass(ArrayNode classes, String name) {
        boolean lowLatency = name.equals("stock-check");
        classes.addObject()
                .put("name", name)
                .put("deadline_us", lowLatency ? 1_800_000 : 3_000_000)
                .put("goal_time_us", lowLatency ? 300_000 : 500_000)
                .put("gain", name.startsWith("cat") ? 1.0 : 5.0)
                .put("idempotency", "safe")
                .put("group", "all");
    }

    /** The port on which the relay accepts clients. */
    public int port() {
        return port;
    }

    /** A copy of the log lines so far, oldest first; callable from any thread. */
    public List<String> log() {
        return List.copyOf(log);
    }

    /** The process id. */
    public long pid() {
        return process.pid();
    }

    /** Whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM, as the platform does to stop a relay; does not wait for the exit. */
    public void stop() {
        process.destroy();
    }

    /** Blocks until the process exits; returns false if it still runs after the timeout. */
    public boolean awaitExit(long timeoutSeconds) throws InterruptedException {
        return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    }

    /** Kills the process and deletes its temporary folder. */
    @Override
    public void close() {
        process.destroyForcibly();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // ignored: a leftover temporary folder has no effect on later runs
        }
    }
}
