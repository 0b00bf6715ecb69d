package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Stated capacities, read from {@code deploy/capacity.toml} or from the file that a command names. */
class CapacityFileTest {
    @TempDir
    Path folder;

    private CapacityFile read(String text) throws Exception {
        Files.writeString(folder.resolve("capacity.toml"), text);
        return CapacityFile.read(new DeployFiles(folder), null);
    }

    @Test
    void readsTheDeployFileAndANamedFile() throws Exception {
        assertThat(CapacityFile.read(new DeployFiles(Path.of("deploy")), null))
                .as("the file as shipped is disabled")
                .isSameAs(CapacityFile.NONE);
        Path named = Files.writeString(
                folder.resolve("site.toml"), "enabled = true\n[servers]\nwork = 1_000_000\nfirm = true\n");
        CapacityFile namedFile = CapacityFile.read(new DeployFiles(folder), named);
        assertThat(namedFile.statedCapacities().forKind(0).workPerRating()).isEqualTo(1e6);
        assertThat(namedFile.statedCapacities().forKind(0).upperBound()).isTrue();
    }

    /** The platform starts the same command in every installation, so it must not name the capacity file of one. */
    @Test
    void theCommandOfThePlatformNamesNoCapacityFile() throws Exception {
        assertThat(Files.readString(Path.of("deploy/balancer.toml"))).doesNotContain("--capacity");
    }

    @Test
    void aKindInheritsTheValuesOfAllServers() throws Exception {
        CapacityFile file = read("enabled = true\n[servers]\nload = 5\ngroup = 2\n[kinds.big]\nconnections = 900\n");
        assertThat(file.kinds()).containsExactly("big");
        assertThat(file.statedCapacities().forKind(0).connectionsPerRating()).isEqualTo(900);
        assertThat(file.statedCapacities().forKind(0).defaultConnectionLoad()).isEqualTo(5);
        assertThat(file.statedCapacities().forKind(7).connectionsPerRating()).isZero();
    }

    @Test
    void missingOrDisabledFileStatesNothing() throws Exception {
        assertThat(CapacityFile.read(new DeployFiles(folder), null)).isSameAs(CapacityFile.NONE);
        assertThat(read("enabled = false\n")).isSameAs(CapacityFile.NONE);
    }

    @Test
    void errorOfANamedFileHasItsPath() throws Exception {
        Path missing = folder.resolve("none.toml");
        assertThatThrownBy(() -> CapacityFile.read(new DeployFiles(folder), missing))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessage("cannot read " + missing);
        Path invalid = Files.writeString(folder.resolve("site.toml"), "enabled = true\n[servers]\nwork = -1\n");
        assertThatThrownBy(() -> CapacityFile.read(new DeployFiles(folder), invalid))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageStartingWith(invalid + ": servers.work must be");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[servers]§work = -1 | servers.work must be a number from 0 to 1000000000000000: -1",
                "[servers]§work = nan | servers.work must be a number",
                "[servers]§work = \"x\" | servers.work must be a number from 0 to 1000000000000000: \"x\"",
                "[servers]§firm = 1 | servers.firm is neither true nor false: 1",
                "[servers]§cores = 1 | servers.cores is not known here",
                "[kinds.a]§load = inf | kinds.a.load must be a number",
                "[limits]§relay = 1.5 | limits.relay is not a whole number: 1.5",
                "[limits]§setups = 2e6 | limits.setups must be a number from 0 to 1000000",
                "kinds = 3 | kinds is not a table: 3",
                "[limit]§relay = 1 | limit is not known here; known are enabled, kinds, limits, servers"
            })
    void invalidValueIsReportedInOneLine(String text, String message) {
        assertThatThrownBy(() -> read("enabled = true\n" + text.replace('§', '\n')))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageContaining("capacity.toml: " + message);
    }
}
