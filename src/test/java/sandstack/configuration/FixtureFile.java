package sandstack.configuration;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes fixture files: text with one named value per line, as name, space and value. Lines that begin with #
 * are comments.
 */
public final class FixtureFile {
    private static final String FOLDER = "/configuration/";

    private FixtureFile() {}

    /** Reads a test resource; returns the values by name, in the order of the file. */
    public static Map<String, String> read(String name) {
        Map<String, String> values = new LinkedHashMap<>();
        try (BufferedReader reader = new BufferedReader(
                new InputStreamReader(FixtureFile.class.getResourceAsStream(FOLDER + name), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                int space = line.indexOf(' ');
                if (!line.startsWith("#") && space > 0) {
                    values.put(line.substring(0, space), line.substring(space + 1));
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return values;
    }

    /** Reads a test resource whose values are byte arrays in hexadecimal. */
    public static Map<String, byte[]> readBytes(String name) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        read(name).forEach((key, hex) -> values.put(key, HexFormat.of().parseHex(hex)));
        return values;
    }

    /** Writes a file for {@link #read}, with a comment as its first line that names the command that wrote it. */
    public static void write(Path file, String comment, Map<String, String> values) throws IOException {
        List<String> lines = new ArrayList<>(List.of("# " + comment));
        values.forEach((name, value) -> lines.add(name + " " + value));
        Files.write(file, lines);
    }

    /** Converts byte arrays to hexadecimal values for {@link #write}. */
    public static Map<String, String> toHex(Map<String, byte[]> values) {
        Map<String, String> hex = new LinkedHashMap<>();
        values.forEach((name, bytes) -> hex.put(name, HexFormat.of().formatHex(bytes)));
        return hex;
    }
}
