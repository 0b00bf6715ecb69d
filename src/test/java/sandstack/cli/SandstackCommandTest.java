package sandstack.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** The command line's reports of invalid usage, help and version. */
class SandstackCommandTest {
    private final StringWriter output = new StringWriter();

    private int run(String... args) {
        CommandLine line = SandstackCommand.commandLine();
        line.setOut(new PrintWriter(output)).setErr(new PrintWriter(output));
        return line.execute(args);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "dance",
                "measure",
                "measure nothing",
                "measure capacity --seed x",
                "measure capacity --jar no/such.jar",
                "serve now",
                "--colour"
            })
    void wrongUsageIsOneLineAndExitCode2(String words) {
        assertThat(run(words.isEmpty() ? new String[0] : words.split(" "))).isEqualTo(2);
        assertThat(output.toString().trim().lines()).hasSize(1);
        assertThat(output.toString()).contains("sandstack").contains("try --help");
    }

    @Test
    void helpNamesEveryCommand() {
        assertThat(run("--help")).isZero();
        assertThat(output.toString()).contains("serve", "console", "simhost", "measure");
        assertThat(run("measure", "--help")).isZero();
    }

    @Test
    void versionIsPrinted() {
        assertThat(run("--version")).isZero();
        assertThat(output.toString()).startsWith("sandstack ");
    }
}
