package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Phase;

class PlatformConfigTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    @TempDir
    Path folder;

    private static PlatformConfig read(Map<String, String> env) throws BadSettings {
        return PlatformConfig.load(env, new MachineKinds(List.of()));
    }

    private PlatformConfig load(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), text);
        return read(Map.of("PROXY_CONFIG", file.toString()));
    }

    @Test
    void readsTheExample() throws Exception {
        PlatformConfig config = load(Files.readString(EXAMPLE));
        assertThat(config.terms().classes()).containsExactly("order-status", "catalogue-feed", "stock-check");
        assertThat(config.terms().settings().maxAttempts()).isEqualTo(6);
        assertThat(config.known().kind()).isEqualTo(ListKind.SAVED);
        assertThat(config.known().lines()).hasSize(2)
                .allMatch(line -> line.entry().phase() == Phase.READY && line.entry().zone() == 0);
    }

    @Test
    void variablesComeBeforeTheFile() throws Exception {
        PlatformConfig config = read(Map.of("PROXY_CONFIG", EXAMPLE.toString(), "PROXY_LISTEN",
                "127.0.0.9:1", "PROXY_NAME", "n9"));
        assertThat(config.listen()).hasToString("127.0.0.9:1");
        assertThat(config.name()).isEqualTo("n9");
    }

    @Test
    void whatCannotBeUsedIsToldInOneLine() throws Exception {
        String good = Files.readString(EXAMPLE);
        refused("", "settings is missing");
        refused("{", "is not JSON");
        refused(good.replace("127.0.0.1:3000", "3000"), "listen is not HOST:PORT: 3000");
        refused(good.replace("\"seed\": \"", "\"seed\": \"xyz"), "seed is not a hexadecimal number");
        refused(good.replace("\"max_attempts\": 6", "\"max_attempts\": 0"), "setting maxAttempts must be at least 1");
        refused(good.replace("\"state\": \"ready\"", "\"state\": \"asleep\""), "has no known state");
        assertThatThrownBy(() -> read(Map.of())).hasMessage("PROXY_CONFIG is not set");
        assertThatThrownBy(() -> read(Map.of("PROXY_CONFIG", folder + "/none")))
                .hasMessageStartingWith("cannot read");
    }

    private void refused(String text, String message) {
        assertThatThrownBy(() -> load(text)).isInstanceOf(BadSettings.class).hasMessageContaining(message)
                .satisfies(e -> assertThat(e.getMessage().lines()).hasSize(1));
    }
}
