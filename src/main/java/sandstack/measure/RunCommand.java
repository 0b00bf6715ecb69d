package sandstack.measure;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** The command by which the platform starts a relay: {@code run} of deploy/balancer.toml in the working directory. */
public final class RunCommand {
    private static final Path FILE = Path.of("deploy/balancer.toml");
    private static final List<String> HEAP_SIZES = List.of("-Xms", "-Xmx");
    private static final List<String> CLASS_ARCHIVE = List.of("-Xshare", "-XX:SharedArchiveFile");

    private RunCommand() {}

    /** The whole command as it is written there. */
    public static String read() throws IOException {
        return new TomlMapper().readTree(Files.readString(FILE)).path("run").asText();
    }

    /**
     * Its options of the virtual machine without the sizes of the heap and the class archive: compiler and collector are
     * those of a relay, the heap is the caller's choice.
     */
    public static List<String> compilerAndCollector() throws IOException {
        return Arrays.stream(read().split(" "))
                .filter(word -> word.startsWith("-X"))
                .filter(word -> HEAP_SIZES.stream().noneMatch(word::startsWith))
                .filter(word -> CLASS_ARCHIVE.stream().noneMatch(word::startsWith))
                .toList();
    }
}
