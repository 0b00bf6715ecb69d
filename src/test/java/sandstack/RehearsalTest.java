package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The command {@code rehearse}, which the build runs to create the class archive, exits with code 0 while neither
 * discovery nor feed servers can be reached.
 */
class RehearsalTest {
    @Test
    void exitsWithZeroWithoutDiscoveryAndFeedServers() throws Exception {
        ProcessBuilder processBuilder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "rehearse")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD);
        processBuilder.environment().put("PROXY_CONFIG", "examples/config.json");
        processBuilder.environment().put("PROXY_LISTEN", "127.0.0.1:0");
        processBuilder.environment().put("PROXY_OPERATOR", "127.0.0.1:0");
        Process rehearsal = processBuilder.start();
        assertThat(rehearsal.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(rehearsal.exitValue()).isZero();
    }
}
