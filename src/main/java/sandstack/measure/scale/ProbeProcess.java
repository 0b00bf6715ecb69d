package sandstack.measure.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sandstack.measure.RelayCommandLine;

/**
 * Runs the main method of a probe class in its own process. The JVM has the compiler and garbage collector options of
 * the {@code run} command, so that times and heap sizes are comparable to those of a relay.
 */
final class ProbeProcess {
    private static final List<String> HEAP_OPTIONS = List.of("-Xmx1g", LiveHeap.COMPACT_ALWAYS);
    private static final long TIMEOUT_SECONDS = 120;

    private ProbeProcess() {}

    /**
     * Runs the probe until it exits.
     *
     * @throws IOException if it fails; the message contains the first line of its output
     */
    static ProbeOutput run(Class<?> probe, int... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(RelayCommandLine.compilerAndCollectorOptions());
        command.addAll(HEAP_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), probe.getName()));
        Arrays.stream(arguments).mapToObj(Integer::toString).forEach(command::add);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            List<String> lines = output.lines().toList();
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
                throw new IOException(probe.getSimpleName() + " failed: " + (lines.isEmpty() ? "" : lines.get(0)));
            }
            return ProbeOutput.read(lines);
        } finally {
            process.destroyForcibly();
        }
    }
}
