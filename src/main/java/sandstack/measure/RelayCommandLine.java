package sandstack.measure;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * The command line that the platform starts a relay with: {@code run} of deploy/balancer.toml in the working directory.
 */
public final class RelayCommandLine {
    private static final Path FILE = Path.of("deploy/balancer.toml");
    private static final List<String> HEAP_SIZE_OPTIONS = List.of("-Xms", "-Xmx");
    private static final List<String> CLASS_ARCHIVE_OPTIONS = List.of("-Xshare", "-XX:SharedArchiveFile");

    private RelayCommandLine() {}

    /** The command line as one string; reads the file on each call. */
    public static String read() throws IOException {
        return new TomlMapper().readTree(Files.readString(FILE)).path("run").asText();
    }

    /**
     * The JVM options that begin with {@code -X}, such as those for compiler, garbage collector and limits of other
     * memory than the heap, but without heap sizes and class data archive.
     */
    public static List<String> compilerAndCollectorOptions() throws IOException {
        return Arrays.stream(read().split(" "))
                .filter(option -> option.startsWith("-X"))
                .filter(option -> HEAP_SIZE_OPTIONS.stream().noneMatch(option::startsWith))
                .filter(option -> CLASS_ARCHIVE_OPTIONS.stream().noneMatch(option::startsWith))
                .toList();
    }
}
