package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/** The platform's configuration file, the environment variables that override it, and reloads of the file. */
class PlatformConfigTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    @TempDir
    Path folder;

    private static PlatformConfig read(Map<String, String> env) throws InvalidConfigurationException {
        return PlatformConfig.load(env, new MachineKinds(List.of()));
    }

    private PlatformConfig load(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), text);
        return read(Map.of("PROXY_CONFIG", file.toString()));
    }

    @Test
    void readsTheExample() throws Exception {
        PlatformConfig config = load(Files.readString(EXAMPLE));
        assertThat(config.effectiveSettings().classNames())
                .containsExactly("order-status", "catalogue-feed", "stock-check");
        assertThat(config.effectiveSettings().settings().maxAttempts()).isEqualTo(6);
        assertThat(config.cachedEndpoints().kind()).isEqualTo(EndpointListKind.CACHED);
        assertThat(config.cachedEndpoints().endpoints())
                .hasSize(2)
                .allMatch(endpoint -> endpoint.entry().state() == EndpointState.READY
                        && endpoint.entry().zone() == 0);
    }

    @Test
    void variablesOverrideTheFile() throws Exception {
        PlatformConfig config =
                read(Map.of("PROXY_CONFIG", EXAMPLE.toString(), "PROXY_LISTEN", "127.0.0.9:1", "PROXY_NAME", "n9"));
        assertThat(config.listen()).hasToString("127.0.0.9:1");
        assertThat(config.name()).isEqualTo("n9");
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        String valid = Files.readString(EXAMPLE);
        assertRejected("", "settings is missing");
        assertRejected("{", "is not JSON");
        assertRejected(valid.replace("127.0.0.1:3000", "3000"), "listen is not HOST:PORT: 3000");
        assertRejected(valid.replace("\"seed\": \"", "\"seed\": \"xyz"), "seed is not a hexadecimal number");
        assertRejected(
                valid.replace("\"max_attempts\": 6", "\"max_attempts\": 0"),
                "caps.max_attempts is not a number above 0");
        assertRejected(valid.replace("\"state\": \"ready\"", "\"state\": \"asleep\""), "has no known state");
        assertThatThrownBy(() -> read(Map.of())).hasMessage("PROXY_CONFIG is not set");
        assertThatThrownBy(() -> read(Map.of("PROXY_CONFIG", folder + "/none"))).hasMessageStartingWith("cannot read");
    }

    @Test
    void reloadedFileNeedsEveryKeyAndPositiveNumbers() throws Exception {
        String valid = Files.readString(EXAMPLE);
        Path file = Files.writeString(folder.resolve("config.json"), valid);
        Map<String, String> env = Map.of("PROXY_CONFIG", file.toString(), "PROXY_DISCOVERY", "127.0.0.9:9");
        PlatformConfig first = read(env);
        assertThat(first.reload(env).effectiveSettings()).isEqualTo(first.effectiveSettings());
        assertThat(first.reload(env).discovery())
                .as("after a reload, the address in the file takes precedence over the environment variable")
                .hasToString("127.0.0.1:8500");
        // each row: a text of the valid file, its replacement, and a part of the expected message
        for (String[] invalid : new String[][] {
            {valid, "", "settings is missing"},
            {valid, "{", "is not JSON"},
            {valid, valid.substring(0, valid.length() / 2), "is not JSON"},
            {valid, valid + "}", "is not JSON"},
            {"\"seed\": \"8c1f30d27a5be964\",", "", "seed"},
            {"\"moves\": 0.012", "\"other\": 1", "settings.costs.moves is missing"},
            {"\"gain\": 1.0, ", "", "settings.classes[].gain is missing"},
            {"\"deadline_us\": 1800000, ", "", "classes.2.deadline_us is missing"},
            {"\"deadline_us\": 1800000", "\"deadline_us\": 0", "classes.2.deadline_us is not a number above 0"},
            {"\"deadline_us\": 1800000", "\"deadline_us\": -5", "classes.2.deadline_us is not a number above 0"},
            {"\"deadline_us\": 1800000", "\"deadline_us\": \"1\"", "classes.2.deadline_us is not a number"},
            {"\"deadline_us\": 1800000", "\"deadline_us\": null", "classes.2.deadline_us is missing"},
            {"\"max_attempts\": 6", "\"max_attempts\": 0", "caps.max_attempts is not a number above 0"},
            {"\"max_attempts\": 6", "\"max_attempts\": true", "caps.max_attempts is not a number"},
            {"\"max_attempts\": 6", "\"max_attempts\": 1e999", "caps.max_attempts is not a number"},
            {"\"name\": \"stock-check\"", "\"name\": \"order-status\"", "classes.2.name is there twice"}
        }) {
            Files.writeString(file, valid.replace(invalid[0], invalid[1]));
            assertThatThrownBy(() -> first.reload(env))
                    .as(invalid[1])
                    .isInstanceOf(InvalidConfigurationException.class)
                    .hasMessageContaining(invalid[2])
                    .satisfies(e -> assertThat(e.getMessage().lines()).hasSize(1));
        }
        Files.writeString(
                file, valid.replace("127.0.0.1:3000", "127.0.0.1:3001").replace("\"rev\": 1,", "\"rev\": 2,"));
        assertThat(first.changesThatNeedRestart(first.reload(env)))
                .containsExactly("127.0.0.1:3000 stays in effect instead of 127.0.0.1:3001");
    }

    private void assertRejected(String text, String message) {
        assertThatThrownBy(() -> load(text))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageContaining(message)
                .satisfies(e -> assertThat(e.getMessage().lines()).hasSize(1));
    }
}
