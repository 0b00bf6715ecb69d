package sandstack.measure.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Resource usage of a process, from {@code /proc} of Linux; reading it does not affect the process.
 *
 * @param threadNanos processor time of each thread since its start, by thread id
 * @param residentBytes resident memory
 * @param descriptors open file descriptors
 */
record ProcessUsage(Map<String, Long> threadNanos, long residentBytes, int descriptors) {
    private static final String RESIDENT_FIELD = "VmRSS:";
    private static final long BYTES_PER_KIB = 1024;
    private static final double NANOS_PER_MICRO = 1000;

    /** Reads the current usage of a process. */
    static ProcessUsage of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        return new ProcessUsage(
                threadNanos(process.resolve("task")),
                residentBytes(process.resolve("status")),
                entries(process.resolve("fd")).size());
    }

    /**
     * Processor time since an earlier reading, in microseconds. Excludes threads that ended in between, such as idle
     * compiler threads.
     */
    double processorMicrosSince(ProcessUsage before) {
        double micros = 0;
        for (Map.Entry<String, Long> thread : threadNanos.entrySet()) {
            micros += thread.getValue() - before.threadNanos.getOrDefault(thread.getKey(), 0L);
        }
        return micros / NANOS_PER_MICRO;
    }

    /**
     * Reads {@code schedstat}, whose first field is in nanoseconds; {@code stat} counts in ticks of ten milliseconds.
     */
    private static Map<String, Long> threadNanos(Path threads) throws IOException {
        Map<String, Long> nanos = new HashMap<>();
        for (Path thread : entries(threads)) {
            try {
                String text = Files.readString(thread.resolve("schedstat"));
                nanos.put(thread.getFileName().toString(), Long.parseLong(text.substring(0, text.indexOf(' '))));
            } catch (NoSuchFileException e) {
                // the thread ended after the directory was listed
                continue;
            }
        }
        return nanos;
    }

    private static long residentBytes(Path status) throws IOException {
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith(RESIDENT_FIELD)) {
                return BYTES_PER_KIB * Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no resident memory in " + status);
    }

    private static List<Path> entries(Path folder) throws IOException {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.toList();
        }
    }
}
