package sandstack.measure.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sandstack.measure.RelayProcess;
import sandstack.measure.scale.Series.Point;

/** Memory and file descriptors of one relay by the number of its idle connections. */
public final class RelayMemoryScale implements ScaleMeasurement {
    private static final String PER = "connections";
    private static final String METHOD =
            "one relay process as run starts it but with a heap of 512 MB, two stand-in feed "
                    + "servers and idle clients on loopback, ";
    private static final int[] CONNECTIONS_QUICK = {200, 1_000, 2_000};
    private static final int[] CONNECTIONS_FULL = {200, 1_000, 4_000, 9_000};
    private static final long SETTLE_MILLIS = 100;

    private final Path jar;

    /** Measures the build of the working directory. */
    public RelayMemoryScale() {
        this(RelayProcess.BUILT_JAR);
    }

    /**
     * Measures another build.
     *
     * @param jar build that the relay is started from
     */
    public RelayMemoryScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "relay-memory";
    }

    /** Starts a process, so returns no series with {@link Effort#SMALL}. */
    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort == Effort.SMALL) {
            return List.of();
        }
        List<Point> resident = new ArrayList<>();
        List<Point> heap = new ArrayList<>();
        List<Point> descriptors = new ArrayList<>();
        try (RelayUnderLoad load = new RelayUnderLoad(jar, RelayUnderLoad.LARGE_MEMORY_OPTIONS)) {
            for (int connections : effort == Effort.FULL ? CONNECTIONS_FULL : CONNECTIONS_QUICK) {
                load.establish(connections);
                RelayUnderLoad.pause(SETTLE_MILLIS);
                heap.add(new Point(connections, LiveHeap.bytesOf(load.relay().pid())));
                ProcessUsage usage = load.usage();
                resident.add(new Point(connections, usage.residentBytes()));
                descriptors.add(new Point(connections, usage.descriptors()));
            }
        }
        return List.of(
                series(
                        "relay.memory.resident",
                        Resource.MEMORY,
                        "bytes",
                        "VmRSS of /proc/PID/status after a full collection; the kernel's memory of sockets is not in it",
                        resident),
                series(
                        "relay.memory.heap",
                        Resource.MEMORY,
                        "bytes",
                        "bytes of all objects after a full collection, by jcmd GC.class_histogram",
                        heap),
                series("relay.descriptors", Resource.STATE, "descriptors", "entries of /proc/PID/fd", descriptors));
    }

    private static Series series(String id, Resource resource, String unit, String detail, List<Point> points) {
        return new Series(id, Role.RELAY_CONNECTIONS, resource, unit, PER, METHOD + detail, points);
    }
}
