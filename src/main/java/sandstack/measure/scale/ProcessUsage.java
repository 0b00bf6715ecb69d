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
 * What one process of this machine uses, as Linux tells it under {@code /proc}; reading it does not disturb the process.
 *
 * @param threadNanos processor time of each of its threads since that began, by the number of the thread
 * @param residentBytes resident memory
 * @param descriptors open descriptors
 */
record ProcessUsage(Map<String, Long> threadNanos, long residentBytes, int descriptors) {
    private static final String RESIDENT_FIELD = "VmRSS:";
    private static final long BYTES_PER_KIB = 1024;
    private static final double NANOS_PER_MICRO = 1000;

    /** Reads what the process uses now. */
    static ProcessUsage of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        return new ProcessUsage(
                threadNanos(process.resolve("task")),
                residentBytes(process.resolve("status")),
                entries(process.resolve("fd")).size());
    }

    /**
     * Processor time since an earlier look, of the threads that are still there: the virtual machine ends idle threads of
     * its compiler, and what those took goes with them.
     */
    double processorMicrosSince(ProcessUsage before) {
        double micros = 0;
        for (Map.Entry<String, Long> thread : threadNanos.entrySet()) {
            micros += thread.getValue() - before.threadNanos.getOrDefault(thread.getKey(), 0L);
        }
        return micros / NANOS_PER_MICRO;
    }

    /** The first field of {@code schedstat} counts nanoseconds, where {@code stat} has ticks of ten milliseconds. */
    private static Map<String, Long> threadNanos(Path threads) throws IOException {
        Map<String, Long> nanos = new HashMap<>();
        for (Path thread : entries(threads)) {
            try {
                String text = Files.readString(thread.resolve("schedstat"));
                nanos.put(thread.getFileName().toString(), Long.parseLong(text.substring(0, text.indexOf(' '))));
            } catch (NoSuchFileException e) {
                // this thread has ended since its folder was listed
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
