package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import sandstack.directory.TenantDirectory;

/**
 * The exact error line of each invalid configuration in {@code error-lines.tsv}. A row has the file's name, a part of
 * the valid file, the replacement that makes the file invalid, and the error line as {@code serve} of a released build
 * printed it.
 */
class ConfigurationErrorLinesTest {
    private static final Path RESOURCES = Path.of("src/test/resources/config");
    private static final Path VALID_CONFIG = Path.of("examples/config.json");

    @TempDir
    Path folder;

    /** One row of {@code error-lines.tsv}: {@code replacement} takes the place of {@code valid} in the valid file. */
    record InvalidFile(String file, String valid, String replacement, String line) {
        static InvalidFile parse(String row) {
            String[] fields = row.split("\t", -1);
            assertThat(fields).hasSize(4);
            return new InvalidFile(fields[0], unescape(fields[1]), unescape(fields[2]), fields[3]);
        }

        private static String unescape(String field) {
            return field.replace("\\n", "\n");
        }
    }

    static Stream<InvalidFile> invalidFiles() throws IOException {
        List<String> rows = Files.readAllLines(RESOURCES.resolve("error-lines.tsv"));
        assertThat(rows).hasSize(136);
        return rows.stream().map(InvalidFile::parse);
    }

    @ParameterizedTest
    @MethodSource("invalidFiles")
    void anInvalidConfigurationHasItsErrorLine(InvalidFile invalid) throws IOException {
        String valid = Files.readString(
                invalid.file().equals("config.json") ? VALID_CONFIG : RESOURCES.resolve(invalid.file()));
        assertThat(valid).contains(invalid.valid());
        Path deploy = Files.createDirectory(folder.resolve("deploy"));
        Path target = invalid.file().equals("config.json") ? folder : deploy;
        Files.writeString(target.resolve(invalid.file()), valid.replace(invalid.valid(), invalid.replacement()));
        InvalidConfigurationException error =
                catchThrowableOfType(InvalidConfigurationException.class, () -> read(invalid.file(), deploy));
        assertThat(error).isNotNull();
        assertThat(error.getMessage().replace(folder + "/", "")).isEqualTo(invalid.line());
    }

    @ParameterizedTest
    @MethodSource("validFiles")
    void theFilesBeforeTheReplacementAreValid(String file) throws Exception {
        Path valid = file.equals("config.json") ? VALID_CONFIG : RESOURCES.resolve(file);
        Path deploy = Files.createDirectory(folder.resolve("deploy"));
        Files.copy(valid, (file.equals("config.json") ? folder : deploy).resolve(file));
        read(file, deploy);
    }

    static Stream<String> validFiles() {
        return Stream.of("config.json", "capacity.toml", "fleet.toml", "directory.toml");
    }

    private void read(String file, Path deploy) throws InvalidConfigurationException {
        DeployFiles files = new DeployFiles(deploy);
        switch (file) {
            case "config.json" -> PlatformConfig.load(
                    Map.of("PROXY_CONFIG", folder.resolve(file).toString()), new MachineKinds(List.of()));
            case "capacity.toml" -> CapacityFile.read(files, null);
            case "fleet.toml" -> FleetFile.read(files);
            case "directory.toml" -> {
                JsonNode values = files.readIfEnabled(file);
                TenantDirectory.DirectoryConfig.read(values);
            }
            default -> throw new IllegalArgumentException(file);
        }
    }
}
