package sandstack.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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
 * A real relay in a process of its own, started as {@code run} of deploy/balancer.toml says, with a configuration and
 * a deploy folder of its own in a temporary folder. One thread reads what it logs.
 */
public final class RelayProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The port of the platform's clients, as this build and earlier ones log it. */
    private static final Pattern LISTENS = Pattern.compile(
            "(?:listener opened relay=.* protocol=lines address=|listens for lines at )[^ ]*:([0-9]+)$");

    private static final long START_SECONDS = 20;
    private static final List<String> CLASSES = List.of("order-status", "catalogue-feed", "stock-check");

    /**
     * What a relay is told.
     *
     * @param zones names of all zones
     * @param home position of its own
     * @param known the list of feed servers that it starts with
     * @param files the files of its deploy folder: names and texts
     * @param options of the virtual machine, after those of {@code run}
     */
    public record Setup(
            String name,
            int me,
            int relays,
            List<String> zones,
            int home,
            int discovery,
            ObjectNode known,
            int sockets,
            Map<String, String> files,
            List<String> options) {}

    private final Process process;
    private final Path folder;
    private final int port;
    private final Queue<String> log = new ConcurrentLinkedQueue<>();

    /** Starts a relay from this jar and waits until it listens. */
    public RelayProcess(Path jar, Setup setup) throws IOException {
        folder = Files.createTempDirectory("sandstack-relay");
        Path deploy = Files.createDirectory(folder.resolve("deploy"));
        for (Map.Entry<String, String> file : setup.files().entrySet()) {
            Files.writeString(deploy.resolve(file.getKey()), file.getValue());
        }
        Path config =
                Files.writeString(folder.resolve("config.json"), config(setup).toString());
        String run = RunCommand.read();
        String options = "-Dsandstack.deploy=" + deploy + " " + String.join(" ", setup.options());
        run = run.replaceFirst(" --capacity \\S+", ""); // it goes by its own folder
        // the class archive belongs to one jar; without it the relay only starts later
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh", "-c", run.replace("-jar target/sandstack.jar", options + " -jar " + jar.toAbsolutePath()));
        builder.environment().put("PROXY_CONFIG", config.toString());
        for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
            builder.environment().remove(variable);
        }
        builder.redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
        process = builder.start();
        CompletableFuture<Integer> listens = new CompletableFuture<>();
        Thread reader = new Thread(() -> read(listens), setup.name() + "-log");
        reader.setDaemon(true);
        reader.start();
        try {
            port = listens.get(START_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            close();
            throw new IOException("a relay did not start; it said: " + String.join(" | ", log), e);
        }
    }

    private void read(CompletableFuture<Integer> listens) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.add(line);
                Matcher m = LISTENS.matcher(line);
                if (m.find()) {
                    listens.complete(Integer.parseInt(m.group(1)));
                }
            }
        } catch (IOException e) {
            log.add("its log broke off: " + e.getMessage());
        }
        listens.completeExceptionally(new IOException("it ended"));
    }

    private static ObjectNode config(Setup setup) throws IOException {
        // a free port of the system's choice; builds that cannot say which they got are told one
        int free;
        try (java.net.ServerSocket probe = new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            free = probe.getLocalPort();
        }
        ObjectNode root = JSON.createObjectNode()
                .put("name", setup.name())
                .put("listen", "127.0.0.1:" + free)
                .put("discovery", "127.0.0.1:" + setup.discovery())
                .put("seed", Long.toHexString(7919L * setup.me() + 11));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", setup.sockets());
        root.set("known", setup.known());
        ObjectNode settings = root.putObject("settings");
        settings.putObject("caps")
                .put("cancelling", true)
                .put("connect_timeout_us", 100_000)
                .put("max_attempts", 6)
                .put("max_retry_after_us", 1_500_000)
                .put("retry_after", false);
        ArrayNode classes = settings.putArray("classes");
        for (String name : CLASSES) {
            boolean tight = name.equals("stock-check");
            classes.addObject()
                    .put("name", name)
                    .put("deadline_us", tight ? 1_800_000 : 3_000_000)
                    .put("goal_time_us", tight ? 300_000 : 500_000)
                    .put("gain", name.startsWith("cat") ? 1.0 : 5.0)
                    .put("idempotency", "safe")
                    .put("group", "all");
        }
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
        CLASSES.forEach(name -> family.withArray("message_aim_us").add(150_000.0));
        settings.put("locality", setup.home())
                .put("me", setup.me())
                .put("membership_mode", "on_request")
                .put("siblings", setup.relays());
        setup.zones().forEach(settings.putArray("zones")::add);
        return root;
    }

    /** The port at which it listens for lines. */
    public int port() {
        return port;
    }

    /** What it has logged, oldest first. */
    public List<String> log() {
        return List.copyOf(log);
    }

    /** The number of its process. */
    public long pid() {
        return process.pid();
    }

    /** Whether its process is there yet. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Asks it to stop, as the platform does. */
    public void stop() {
        process.destroy();
    }

    /** Waits until it has ended; false where it has not by then. */
    public boolean ended(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // a temporary folder that stays does no harm
        }
    }
}
