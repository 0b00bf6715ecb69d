package sandstack.measure.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The heap that a virtual machine needs after a full collection, as its own {@code jcmd} counts it. */
final class LiveHeap {
    /** The serial collector otherwise leaves a twentieth of the heap as it was in three of four full collections. */
    static final String COMPACT_ALWAYS = "-XX:MarkSweepAlwaysCompactCount=1";

    private static final long TIMEOUT_SECONDS = 20;
    private static final String TOTAL_LINE_PREFIX = "Total ";

    private LiveHeap() {}

    /** Lets the process collect once and returns the bytes of the objects that remain. */
    static long bytesOf(long pid) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process process = new ProcessBuilder(jcmd.toString(), Long.toString(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("jcmd did not end");
            }
            return total(output);
        } finally {
            process.destroyForcibly();
        }
    }

    /** The last line has the instances and the bytes of all classes. */
    static long total(String histogram) throws IOException {
        for (String line : histogram.lines().toList()) {
            if (line.startsWith(TOTAL_LINE_PREFIX)) {
                String[] columns = line.trim().split("\\s+");
                return Long.parseLong(columns[2]);
            }
        }
        throw new IOException(
                "jcmd told no total: " + histogram.lines().findFirst().orElse("(nothing)"));
    }
}
