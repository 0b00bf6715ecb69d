package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Values of {@code deploy/fleet.toml}, and the single error line for each invalid value. */
class FleetFileTest {
    private static final String VALID = "enabled = true\ninstallation = \"hq\"\nlisten = \"10.0.0.7:4600\"\n"
            + "members = [\"10.0.0.7:4600\", \"10.0.0.8:4600\"]\n";

    private static FleetFile read(String toml) throws Exception {
        return FleetFile.read(new TomlMapper().readTree(toml));
    }

    @Test
    void isDisabledAsShippedAndReadWhereEnabled() throws Exception {
        assertThat(FleetFile.read(new DeployFiles(Path.of("deploy")))).isNull();
        assertThat(FleetFile.read(new DeployFiles(Path.of("examples")))).isNull();
        FleetFile file = read(VALID + "[via]\n\"10.0.0.8:4600\" = \"127.0.0.1:99\"\n");
        assertThat(file.machine()).isEqualTo("10.0.0.7");
        assertThat(file.via()).containsEntry("10.0.0.8:4600", "127.0.0.1:99");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "installation = \"hq\" | installation = \"h q\" | fleet.toml: installation must be 2 to 100 letters",
                "installation = \"hq\" | installation = \"h\"   | fleet.toml: installation must be 2 to 100 letters",
                "installation = \"hq\" | colour = 1             | fleet.toml: colour is not known here",
                "installation = \"hq\" | #                      | fleet.toml: installation is missing",
                "10.0.0.7:4600\"\\n    | 10.0.0.7\"\\n          | fleet.toml: listen is not HOST:PORT: 10.0.0.7",
                "members = [           | members = [3,          | fleet.toml: members is no address HOST:PORT: 3",
                "members = [           | members = [\"x:y\",    | fleet.toml: members is not HOST:PORT: x:y",
                "members =             | machine = \"a b\"\\nmembers = | fleet.toml: machine must be 2 to 100 letters",
                "members =             | relays = 4\\nmembers =    | fleet.toml: relays must be a list of 1 to 1000 names: 4",
                "members =             | relays = []\\nmembers =   | fleet.toml: relays must be a list of 1 to 1000 names: 0 of them",
                "members =             | relays = [7]\\nmembers =  | fleet.toml: relays: 7 is no name",
                "members =             | relays = [\"n1\", \"n1\"]\\nmembers = | fleet.toml: relays: \"n1\" is there twice",
                "members =             | relays = [\"n 1\"]\\nmembers = | fleet.toml: relays must be 2 to 100 letters",
                "members =             | via = 3\\nmembers =    | fleet.toml: via is not a table: 3",
            })
    void invalidValueIsOneLineWithFileKeyAndValue(String valid, String invalid, String line) {
        String toml = VALID.replace(
                valid.replace("\\n", "\n").strip(), invalid.replace("\\n", "\n").strip());
        assertThat(toml).isNotEqualTo(VALID);
        assertThatThrownBy(() -> read(toml))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageStartingWith(line)
                .hasMessageNotContaining("\n");
    }

    @Test
    void membersAreANonEmptyList() {
        assertThatThrownBy(() -> read(VALID.replaceFirst("members = .*", "members = []")))
                .hasMessage("fleet.toml: members must be a list of 1 to 1000 addresses: 0 of them");
        assertThatThrownBy(() -> read(VALID.replaceFirst("members = .*", "members = 4")))
                .hasMessage("fleet.toml: members must be a list of 1 to 1000 addresses: 4");
    }
}
