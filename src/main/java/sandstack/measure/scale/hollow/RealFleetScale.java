package sandstack.measure.scale.hollow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import sandstack.measure.RelayProcess;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;
import sandstack.rig.FleetRig;

/**
 * Fleets of real processes on loopback, to compare hollow ones with: bytes, processor time and memory of each, and how
 * long until all know of a kill.
 */
public final class RealFleetScale implements ScaleMeasurement {
    private static final String PER = "relays";
    private static final int[] SIZES = {10, 20, 50};
    private static final int ZONES = 3;
    private static final double TIMEOUT_SECONDS = 60;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long OBSERVED_MILLIS = 10_000;
    private static final double TICKS_PER_SECOND = 100;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_KIB = 1_024;
    /** Words of a line of /proc/PID/stat after the command's name: time in the program and in the system. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;

    /** What one real member of a fleet costs, and how soon all know of a kill. */
    private record Costs(
            int relays,
            double bytesPerSecond,
            double cpuMillisPerSecond,
            double residentBytes,
            double detectedSeconds,
            double lostSeconds) {}

    private final Path jar;

    /** Measures the build of the working directory. */
    public RealFleetScale() {
        this(RelayProcess.BUILT_JAR);
    }

    /**
     * Measures another build.
     *
     * @param jar build that members are started from
     */
    public RealFleetScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "real-fleet";
    }

    /** Needs many processes, so it is made with {@link Effort#FULL} alone. */
    @Override
    public List<Series> measure(Effort effort) throws IOException, InterruptedException {
        if (effort != Effort.FULL) {
            return List.of();
        }
        List<Costs> figures = new ArrayList<>();
        String ends = "";
        for (int size : SIZES) {
            try {
                figures.add(measure(size));
            } catch (IOException e) {
                ends = "; ends before " + size + " relays: " + e.getMessage();
                break;
            }
        }
        return List.of(
                series("real-fleet.bytes", Resource.NETWORK, "bytes a second", ends, figures, Costs::bytesPerSecond),
                series(
                        "real-fleet.processor",
                        Resource.PROCESSOR,
                        "ms a second",
                        ends,
                        figures,
                        Costs::cpuMillisPerSecond),
                series("real-fleet.resident", Resource.MEMORY, "bytes", ends, figures, Costs::residentBytes),
                series("real-fleet.kill.seconds", Resource.LATENCY, "seconds", ends, figures, Costs::detectedSeconds),
                series("real-fleet.given-up.seconds", Resource.LATENCY, "seconds", ends, figures, Costs::lostSeconds));
    }

    private Costs measure(int size) throws IOException, InterruptedException {
        try (FleetRig rig = new FleetRig(List.of("-jar", jar.toString()), size, ZONES)) {
            rig.startAll();
            if (FleetRig.until(rig::allAlive, TIMEOUT_SECONDS + size) < 0) {
                throw new IOException("did not see itself whole within " + (TIMEOUT_SECONDS + size) + " s");
            }
            Thread.sleep(SETTLE_MILLIS);
            long bytes = rig.bytes();
            double processor = processorSeconds(rig);
            long startNanos = System.nanoTime();
            Thread.sleep(OBSERVED_MILLIS);
            double memberSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND * size;
            double bytesEach = (rig.bytes() - bytes) / memberSeconds;
            double millisEach = (processorSeconds(rig) - processor) * MILLIS_PER_SECOND / memberSeconds;
            double resident = meanResidentBytes(rig);
            rig.kill(size - 1);
            long killNanos = System.nanoTime();
            awaitStatusEverywhere(rig, size - 1, standing -> !"ALIVE".equals(standing));
            double noticed = (System.nanoTime() - killNanos) / NANOS_PER_SECOND;
            awaitStatusEverywhere(rig, size - 1, "LOST"::equals);
            return new Costs(
                    size, bytesEach, millisEach, resident, noticed, (System.nanoTime() - killNanos) / NANOS_PER_SECOND);
        }
    }

    private static void awaitStatusEverywhere(FleetRig rig, int victim, Predicate<String> expected) throws IOException {
        long micros = FleetRig.until(
                () -> {
                    for (int i = 0; i < victim; i++) {
                        Map<String, String> statuses = rig.standings(i);
                        if (statuses == null || !expected.test(statuses.get(FleetRig.name(victim)))) {
                            return false;
                        }
                    }
                    return true;
                },
                TIMEOUT_SECONDS);
        if (micros < 0) {
            throw new IOException("a kill was not known to all within " + TIMEOUT_SECONDS + " s");
        }
    }

    private static double processorSeconds(FleetRig rig) throws IOException {
        double ticks = 0;
        for (int i = 0; i < rig.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + rig.pid(i) + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
        }
        return ticks / TICKS_PER_SECOND;
    }

    private static double meanResidentBytes(FleetRig rig) throws IOException {
        double bytes = 0;
        for (int i = 0; i < rig.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + rig.pid(i) + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    bytes += Double.parseDouble(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB;
                }
            }
        }
        return bytes / rig.size();
    }

    private static Series series(
            String id, Resource resource, String unit, String ends, List<Costs> all, ToDoubleFunction<Costs> value) {
        List<Point> points = all.stream()
                .map(one -> new Point(one.relays(), value.applyAsDouble(one)))
                .toList();
        String method = String.format(
                Locale.ROOT,
                "real processes on loopback with a link for each pair, heap of 64 MB, watched for %.0f s; each relay",
                OBSERVED_MILLIS / MILLIS_PER_SECOND);
        return new Series(id, Role.RELAY_CONTROL, resource, unit, PER, method + ends, points);
    }
}
