package sandstack.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Set;

/** The files of our own under deploy/: each switches one part on or off. A part without a file is off. */
public final class DeployFiles {
    private final Path folder;

    /** Creates a view of the files in this folder; each is read when it is asked for. */
    public DeployFiles(Path folder) {
        this.folder = folder;
    }

    /** The file's values; null where the part is off. */
    public JsonNode enabled(String name) throws InvalidConfigurationException {
        Path file = folder.resolve(name);
        return Files.isRegularFile(file) ? enabled(file) : null;
    }

    /** The values of a file that a command names, which has to be there; null where it says that it is off. */
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

    /** Refuses keys that are none of these; where says what the line begins with. */
    public static void onlyKnown(JsonNode values, Set<String> keys, String where) throws InvalidConfigurationException {
        for (Iterator<String> i = values.fieldNames(); i.hasNext(); ) {
            String key = i.next();
            if (!keys.contains(key)) {
                throw new InvalidConfigurationException(where + key + " is not known here; known are "
                        + String.join(", ", keys.stream().sorted().toList()));
            }
        }
    }

    /** A value that the file must have. */
    public static String text(JsonNode values, String name, String file) throws InvalidConfigurationException {
        if (!values.path(name).isTextual() || values.path(name).asText().isEmpty()) {
            throw new InvalidConfigurationException(file + ": " + name + " is missing");
        }
        return values.path(name).asText();
    }
}
