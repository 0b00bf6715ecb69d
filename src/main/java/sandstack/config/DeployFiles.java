package sandstack.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Set;

/**
 * The relay's own files under {@code deploy/}, each of which switches one part on or off; without its file, a part is
 * off.
 */
public final class DeployFiles {
    private final Path folder;

    /** Creates a view of the files in this folder; each is read on request. */
    public DeployFiles(Path folder) {
        this.folder = folder;
    }

    /** The file's values; null if the part is off. */
    public JsonNode enabled(String name) throws InvalidConfigurationException {
        Path file = folder.resolve(name);
        return Files.isRegularFile(file) ? enabled(file) : null;
    }

    /** The values of a file that has to exist; null if it switches its part off. */
    static JsonNode enabled(Path file) throws InvalidConfigurationException {
        try {
            JsonNode values = new TomlMapper().readTree(Files.readString(file));
            if (!values.path("enabled").isBoolean()) {
                throw new InvalidConfigurationException(file + ": enabled is neither true nor false");
            }
            return values.path("enabled").asBoolean() ? values : null;
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    file + ": " + e.getOriginalMessage().lines().findFirst().orElse("not TOML"));
        } catch (IOException e) {
            throw new InvalidConfigurationException("cannot read " + file);
        }
    }

    /** Rejects keys that are none of these; {@code prefix} begins the error line. */
    public static void onlyKnown(JsonNode values, Set<String> keys, String prefix)
            throws InvalidConfigurationException {
        for (Iterator<String> names = values.fieldNames(); names.hasNext(); ) {
            String key = names.next();
            if (!keys.contains(key)) {
                throw new InvalidConfigurationException(prefix + key + " is not known here; known are "
                        + String.join(", ", keys.stream().sorted().toList()));
            }
        }
    }

    /** A text that the file must have; {@code file} begins the error line. */
    public static String text(JsonNode values, String name, String file) throws InvalidConfigurationException {
        if (!values.path(name).isTextual() || values.path(name).asText().isEmpty()) {
            throw new InvalidConfigurationException(file + ": " + name + " is missing");
        }
        return values.path(name).asText();
    }
}
