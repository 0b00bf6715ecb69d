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

/** Nobody turns the fleet on, or leaves it off, by accident: it takes the file and the command. */
@Timeout(60)
class FleetSwitchTest {
    private static final Pattern LISTENS = Pattern.compile("listener opened relay=\\S+ protocol=lines ");

    @TempDir
    Path folder;

    /** What a command ended with, and its last line. */
    private record Ended(int code, String said) {}

    /** The very run of deploy/balancer.toml, with these words after it, on the classes of this build. */
    private List<String> run(String... more) throws Exception {
        String run = new TomlMapper()
                .readTree(Files.readString(Path.of("deploy/balancer.toml")))
                .path("run")
                .asText();
        assertThat(run).contains("-jar target/sandstack.jar serve").doesNotContain("fleet");
        List<String> words = new ArrayList<>(List.of(run.replaceFirst("^exec ", "")
                .replaceFirst("-XX:SharedArchiveFile=\\S+", "-Xshare:auto")
                .replace(
                        "-jar target/sandstack.jar",
                        "-verbose:class -Dsandstack.deploy=" + folder + " -cp " + System.getProperty("java.class.path")
                                + " sandstack.Main")
                .split(" ")));
        words.set(0, SocketHolder.java());
        words.addAll(List.of(more));
        return words;
    }

    private Process start(List<String> words) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile());
        builder.environment().put("PROXY_CONFIG", "examples/config.json");
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:0");
        return builder.start();
    }

    private String out() throws Exception {
        return Files.readString(folder.resolve("out"), StandardCharsets.UTF_8);
    }

    private Ended ended(List<String> words) throws Exception {
        Process process = start(words);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        List<String> said =
                out().lines().filter(line -> line.contains("fleet.toml")).toList();
        return new Ended(process.exitValue(), String.join("\n", said));
    }

    @Test
    void anEnabledFileAloneEndsWithTwo() throws Exception {
        Files.writeString(
                folder.resolve("fleet.toml"),
                Files.readString(Path.of("deploy/fleet.toml")).replace("enabled = false", "enabled = true"));
        assertThat(ended(run()))
                .isEqualTo(new Ended(
                        2, "serve: fleet.toml: enabled is true, but --fleet is not given; a member needs both"));
    }

    @Test
    void theOptionAloneEndsWithTwo() throws Exception {
        Files.copy(Path.of("deploy/fleet.toml"), folder.resolve("fleet.toml"));
        assertThat(ended(run("--fleet")))
                .isEqualTo(
                        new Ended(2, "serve: fleet.toml: enabled is false, but --fleet is given; a member needs both"));
    }

    @Test
    void asShippedNothingOfItIsLoaded() throws Exception {
        Files.copy(Path.of("deploy/fleet.toml"), folder.resolve("fleet.toml"));
        Process process = start(run());
        while (!LISTENS.matcher(out()).find()) {
            assertThat(process.isAlive()).as(out()).isTrue();
        }
        assertThat(process.descendants()).isEmpty();
        process.destroy();
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(out())
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
