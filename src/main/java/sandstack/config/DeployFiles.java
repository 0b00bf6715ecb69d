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
 * The relay's own TOML files under {@code deploy/}. Each configures one optional feature and enables it with
 * {@code enabled = true}; a feature without its file is disabled.
 */
public final class DeployFiles {
    private final Path folder;

    /** Creates an accessor for the files in this folder; every call reads its file anew. */
    public DeployFiles(Path folder) {
        this.folder = folder;
    }

    /** Reads the file's values; returns null if the file is missing or disabled. */
    public JsonNode readIfEnabled(String name) throws InvalidConfigurationException {
        Path file = folder.resolve(name);
        return Files.isRegularFile(file) ? readIfEnabled(file) : null;
    }

    /** Reads the values of a file that must exist; returns null if it is disabled. */
    static JsonNode readIfEnabled(Path file) throws InvalidConfigurationException {
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

    /** Throws if there is a key that is not one of {@code keys}; the error line begins with {@code prefix}. */
    public static void requireKnownKeys(JsonNode values, Set<String> keys, String prefix)
            throws InvalidConfigurationException {
        for (Iterator<String> names = values.fieldNames(); names.hasNext(); ) {
            String key = names.next();
            if (!keys.contains(key)) {
                throw new InvalidConfigurationException(prefix + key + " is not known here; known are "
                        + String.join(", ", keys.stream().sorted().toList()));
            }
        }
    }

    /** Returns a non-empty string that the file must have; the error line begins with {@code file}. */
    public static String requiredText(JsonNode values, String name, String file) throws InvalidConfigurationException {
        if (!values.path(name).isTextual() || values.path(name).asText().isEmpty()) {
            throw new InvalidConfigurationException(file + ": " + name + " is missing");
        }
        return values.path(name).asText();
    }
}
