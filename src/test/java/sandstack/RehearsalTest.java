package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What the build runs to make the class archive ends by itself with exit code 0, without discovery or feed servers. */
class RehearsalTest {
    @Test
    void asksItselfOnceAndEnds() throws Exception {
        ProcessBuilder program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "rehearse")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD);
        program.environment().put("PROXY_CONFIG", "examples/config.json");
        program.environment().put("PROXY_LISTEN", "127.0.0.1:0");
        program.environment().put("PROXY_OPERATOR", "127.0.0.1:0");
        Process rehearsal = program.start();
        assertThat(rehearsal.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(rehearsal.exitValue()).isZero();
    }
}
