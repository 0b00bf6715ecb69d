package sandstack.measure.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The size of all live objects of another JVM process, from {@code jcmd GC.class_histogram}. */
final class LiveHeap {
    /**
     * JVM option to compact the whole heap in each full collection. By default the serial collector leaves 5% of the
     * heap uncompacted in three of four full collections.
     */
    static final String COMPACT_ALWAYS = "-XX:MarkSweepAlwaysCompactCount=1";

    private static final long TIMEOUT_SECONDS = 20;
    private static final String TOTAL_LINE_PREFIX = "Total ";

    private LiveHeap() {}

    /** Runs a full garbage collection in the process and returns the size of its live objects in bytes. */
    static long bytesOf(long pid) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process process = new ProcessBuilder(jcmd.toString(), Long.toString(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("jcmd did not exit");
            }
            return total(output);
        } finally {
            process.destroyForcibly();
        }
    }

    /** Parses the total size of all classes in bytes from the line that begins with {@value #TOTAL_LINE_PREFIX}. */
    static long total(String histogram) throws IOException {
        for (String line : histogram.lines().toList()) {
            if (line.startsWith(TOTAL_LINE_PREFIX)) {
                String[] columns = line.trim().split("\\s+", 0);
                return Long.parseLong(columns[2]);
            }
        }
        throw new IOException(
                "jcmd printed no total: " + histogram.lines().findFirst().orElse("(nothing)"));
    }
}
