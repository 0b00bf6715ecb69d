package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Requirements on the source files that deploy/balancer.toml lists as policy. */
class ModuleSourceTest {
    /** Line length of the formatter, which joins shorter lines up to it. */
    private static final int FORMATTER_LINE_LENGTH = 120;

    private static List<Path> policyFiles() throws IOException {
        List<Path> files = new ArrayList<>();
        JsonNode deploy = new TomlMapper().readTree(Files.readString(Path.of("deploy/balancer.toml")));
        deploy.path("policy").forEach(f -> files.add(Path.of(f.asText())));
        return files;
    }

    @Test
    void policyListNamesEveryFile() throws IOException {
        try (var files = Files.list(Path.of("src/main/java/sandstack/decisions"))) {
            List<Path> module =
                    files.filter(f -> !f.endsWith("package-info.java")).toList();
            assertThat(policyFiles()).containsAll(module);
        }
    }

    @Test
    void linesFitTheFormatterWidth() throws IOException {
        long lineCount = 0;
        for (Path file : policyFiles()) {
            List<String> lines = Files.readAllLines(file);
            lineCount += lines.stream().filter(l -> !l.isBlank()).count();
            assertThat(lines).as(file.toString()).allMatch(line -> line.length() <= FORMATTER_LINE_LENGTH);
        }
        assertThat(lineCount).isGreaterThanOrEqualTo(300L);
    }

    @Test
    void moduleNamesNoDeploymentAndUsesNoOutsideInput() throws IOException {
        for (Path file : policyFiles()) {
            String text = Files.readString(file).toLowerCase(Locale.ROOT).replace("clock, thread or", "");
            assertThat(text)
                    .as(file.toString())
                    .doesNotContain(
                            "bengal",
                            "jhb",
                            "laredo",
                            "canli",
                            "toowoomba",
                            "getenv",
                            "getproperty",
                            "java.io",
                            "java.net",
                            "java.nio",
                            "currenttimemillis",
                            "nanotime",
                            "java.lang.thread",
                            "new thread",
                            "math.random");
        }
    }

    @Test
    void loadBalancerNamesItsInterface() throws IOException {
        assertThat(Files.readString(Path.of("src/main/java/sandstack/decisions/LoadBalancer.java")))
                .contains("BalancerEvent", "BalancerAction");
    }
}
