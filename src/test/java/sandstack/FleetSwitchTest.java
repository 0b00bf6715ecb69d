package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A relay is a fleet member only if {@code deploy/fleet.toml} is enabled and the command has {@code --fleet}. */
@Timeout(60)
class FleetSwitchTest {
    private static final Pattern LISTENER_OPENED = Pattern.compile("listener opened relay=\\S+ protocol=lines ");

    @TempDir
    Path folder;

    /**
     * The exit of a command.
     *
     * @param code the exit code
     * @param errors its output lines that mention fleet.toml
     */
    private record Exit(int code, String errors) {}

    /** The command {@code run} of deploy/balancer.toml on the classes under test, with these arguments appended. */
    private List<String> run(String... arguments) throws Exception {
        String run = new TomlMapper()
                .readTree(Files.readString(Path.of("deploy/balancer.toml")))
                .path("run")
                .asText();
        assertThat(run).contains("-jar target/sandstack.jar serve").doesNotContain("fleet");
        List<String> command = new ArrayList<>(List.of(run.replaceFirst("^exec ", "")
                .replaceFirst("-XX:SharedArchiveFile=\\S+", "-Xshare:auto")
                .replace(
                        "-jar target/sandstack.jar",
                        "-verbose:class -Dsandstack.deploy=" + folder + " -cp " + System.getProperty("java.class.path")
                                + " sandstack.Main")
                .split(" ")));
        command.set(0, SocketHolder.java());
        command.addAll(List.of(arguments));
        return command;
    }

    private Process start(List<String> command) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile());
        builder.environment().put("PROXY_CONFIG", "examples/config.json");
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:0");
        return builder.start();
    }

    private String output() throws Exception {
        return Files.readString(folder.resolve("out"), StandardCharsets.UTF_8);
    }

    private Exit awaitExit(List<String> command) throws Exception {
        Process process = start(command);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        List<String> errors =
                output().lines().filter(line -> line.contains("fleet.toml")).toList();
        return new Exit(process.exitValue(), String.join("\n", errors));
    }

    @Test
    void enabledFileWithoutOptionExitsWith2() throws Exception {
        Files.writeString(
                folder.resolve("fleet.toml"),
                Files.readString(Path.of("deploy/fleet.toml")).replace("enabled = false", "enabled = true"));
        assertThat(awaitExit(run()))
                .isEqualTo(new Exit(
                        2, "serve: fleet.toml: enabled is true, but --fleet is not given; a member needs both"));
    }

    @Test
    void optionWithDisabledFileExitsWith2() throws Exception {
        Files.copy(Path.of("deploy/fleet.toml"), folder.resolve("fleet.toml"));
        assertThat(awaitExit(run("--fleet")))
                .isEqualTo(
                        new Exit(2, "serve: fleet.toml: enabled is false, but --fleet is given; a member needs both"));
    }

    @Test
    void shippedConfigurationLoadsNoFleetClass() throws Exception {
        Files.copy(Path.of("deploy/fleet.toml"), folder.resolve("fleet.toml"));
        Process process = start(run());
        while (!LISTENER_OPENED.matcher(output()).find()) {
            assertThat(process.isAlive()).as(output()).isTrue();
        }
        assertThat(process.descendants()).isEmpty();
        process.destroy();
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(output())
                .contains("sandstack.core.Relay")
                .doesNotContain(
                        "sandstack.fleet",
                        "io.scalecube",
                        "reactor.",
                        "io.netty",
                        "org.slf4j",
                        "sandstack.config.FleetFile");
    }
}
