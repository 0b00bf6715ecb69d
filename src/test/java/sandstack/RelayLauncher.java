package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import sandstack.service.RelayService;

/**
 * Starts relays with the command {@code run} of deploy/balancer.toml. The jar and the class archive are made of the
 * classes under test, as the build makes its own only after the tests. Each process logs to its own file in the test's
 * folder.
 */
final class RelayLauncher {
    private final Path folder;
    private final String classPath;
    private final Path archive;
    private final List<Process> started = new CopyOnWriteArrayList<>();

    /** Makes the jar and the archive, in about two seconds. */
    RelayLauncher(Path folder) throws Exception {
        this.folder = folder;
        Path jar = folder.resolve("program.jar");
        Path classes = Path.of(RelayService.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar));
                Stream<Path> all = Files.walk(classes)) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                Files.copy(file, out);
                out.closeEntry();
            }
        }
        classPath = jar + ":"
                + Arrays.stream(System.getProperty("java.class.path").split(":"))
                        .filter(entry -> entry.endsWith(".jar"))
                        .collect(Collectors.joining(":"));
        archive = folder.resolve("program.jsa");
        Process rehearsal = process(
                List.of(
                        java(),
                        "-XX:+UseSerialGC",
                        "-XX:ArchiveClassesAtExit=" + archive,
                        "-cp",
                        classPath,
                        "sandstack.Main",
                        "rehearse"),
                "rehearsal",
                config("rehearsal", 0, 1024),
                0);
        assertThat(rehearsal.waitFor(60, TimeUnit.SECONDS)).isTrue();
        assertThat(archive).exists();
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin/java").toString();
    }

    /**
     * Writes the example configuration with this discovery port and this limit on descriptors. The relay listens at an
     * ephemeral port.
     */
    Path config(String name, int discovery, int sockets) throws IOException {
        return Files.writeString(
                folder.resolve(name + ".json"),
                Files.readString(Path.of("examples/config.json"))
                        .replace("127.0.0.1:3000", "127.0.0.1:0")
                        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery)
                        .replace("\"sockets\": 1024", "\"sockets\": " + sockets));
    }

    /**
     * Starts one relay at an ephemeral port.
     *
     * @param prefix prefix of the command, such as {@code taskset -c 0}; may be empty
     */
    Process start(String prefix, String name, Path config) throws IOException {
        return process(List.of("/bin/sh", "-c", command(prefix)), name, config, 0);
    }

    /** Starts one relay at an ephemeral port that reads its files under deploy/ from this folder. */
    Process startWithDeployFiles(Path deployFolder, String name, Path config) throws IOException {
        String command =
                command("").replace(" sandstack.Main", " -Dsandstack.deploy=" + deployFolder + " sandstack.Main");
        return process(List.of("/bin/sh", "-c", command), name, config, 0);
    }

    /** Starts one relay that listens at this port. */
    Process startAt(int port, String name, Path config) throws IOException {
        return process(List.of("/bin/sh", "-c", command("")), name, config, port);
    }

    private String command(String prefix) throws IOException {
        String run = Files.readString(Path.of("deploy/balancer.toml"))
                .lines()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        String command = run.replace("exec java ", "exec " + prefix + " " + java() + " ")
                .replace("target/sandstack.jsa", archive.toString())
                .replace("-jar target/sandstack.jar", "-cp " + classPath + " sandstack.Main");
        assertThat(command).contains(archive.toString(), "sandstack.Main serve");
        return command;
    }

    private Process process(List<String> command, String name, Path config, int port) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile());
        builder.environment().putAll(Map.of("PROXY_CONFIG", config.toString(), "PROXY_LISTEN", "127.0.0.1:" + port));
        Process process = builder.start();
        started.add(process);
        return process;
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Waits for a line with this text in a relay's log; returns the line. */
    String awaitLogged(String name, String text) throws Exception {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40); System.nanoTime() < end; Thread.sleep(20)) {
            for (String line : log(name).split("\n", 0)) {
                if (line.contains(text)) {
                    return line;
                }
            }
        }
        throw new AssertionError("not logged: " + text + "; log: " + log(name));
    }

    /** Waits until a relay's listener for the line protocol is open; returns its port. */
    int port(String name) throws Exception {
        String line = awaitLogged(name, " protocol=lines address=");
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim());
    }

    void stop() {
        started.forEach(Process::destroyForcibly);
    }

    /** Returns a port that is free now; another process may bind it before the caller does. */
    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }
}
