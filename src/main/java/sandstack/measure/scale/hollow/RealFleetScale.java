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
    private static final int[] FULL = {10, 20, 50};
    private static final int ZONES = 3;
    private static final double PATIENCE_SECONDS = 60;
    private static final long SETTLES_MS = 5_000;
    private static final long WATCHED_MS = 10_000;
    private static final double TICKS_IN_SECOND = 100;
    private static final double MILLIS_IN_SECOND = 1_000;
    private static final double NANOS_IN_SECOND = 1e9;
    private static final double BYTES_IN_KB = 1_024;
    /** Words of a line of /proc/PID/stat after the command's name: time in the program and in the system. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;

    /** What one real member of a fleet costs, and how soon all know of a kill. */
    private record Figures(
            int relays, double bytes, double millis, double resident, double noticedSeconds, double givenUpSeconds) {}

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
        List<Figures> figures = new ArrayList<>();
        String ends = "";
        for (int size : FULL) {
            try {
                figures.add(measure(size));
            } catch (IOException e) {
                ends = "; ends before " + size + " relays: " + e.getMessage();
                break;
            }
        }
        return List.of(
                series("real-fleet.bytes", Resource.NETWORK, "bytes a second", ends, figures, Figures::bytes),
                series("real-fleet.processor", Resource.PROCESSOR, "ms a second", ends, figures, Figures::millis),
                series("real-fleet.resident", Resource.MEMORY, "bytes", ends, figures, Figures::resident),
                series("real-fleet.kill.seconds", Resource.LATENCY, "seconds", ends, figures, Figures::noticedSeconds),
                series(
                        "real-fleet.given-up.seconds",
                        Resource.LATENCY,
                        "seconds",
                        ends,
                        figures,
                        Figures::givenUpSeconds));
    }

    private Figures measure(int size) throws IOException, InterruptedException {
        try (FleetRig rig = new FleetRig(List.of("-jar", jar.toString()), size, ZONES)) {
            rig.startAll();
            if (FleetRig.until(rig::allAlive, PATIENCE_SECONDS + size) < 0) {
                throw new IOException("did not see itself whole within " + (PATIENCE_SECONDS + size) + " s");
            }
            Thread.sleep(SETTLES_MS);
            long bytes = rig.bytes();
            double processor = processorSeconds(rig);
            long began = System.nanoTime();
            Thread.sleep(WATCHED_MS);
            double memberSeconds = (System.nanoTime() - began) / NANOS_IN_SECOND * size;
            double bytesEach = (rig.bytes() - bytes) / memberSeconds;
            double millisEach = (processorSeconds(rig) - processor) * MILLIS_IN_SECOND / memberSeconds;
            double resident = resident(rig);
            rig.kill(size - 1);
            long killed = System.nanoTime();
            untilAllSee(rig, size - 1, standing -> !"ALIVE".equals(standing));
            double noticed = (System.nanoTime() - killed) / NANOS_IN_SECOND;
            untilAllSee(rig, size - 1, "LOST"::equals);
            return new Figures(
                    size, bytesEach, millisEach, resident, noticed, (System.nanoTime() - killed) / NANOS_IN_SECOND);
        }
    }

    private static void untilAllSee(FleetRig rig, int victim, Predicate<String> standing) throws IOException {
        long micros = FleetRig.until(
                () -> {
                    for (int i = 0; i < victim; i++) {
                        Map<String, String> seen = rig.standings(i);
                        if (seen == null || !standing.test(seen.get(FleetRig.name(victim)))) {
                            return false;
                        }
                    }
                    return true;
                },
                PATIENCE_SECONDS);
        if (micros < 0) {
            throw new IOException("a kill was not known to all within " + PATIENCE_SECONDS + " s");
        }
    }

    private static double processorSeconds(FleetRig rig) throws IOException {
        double ticks = 0;
        for (int i = 0; i < rig.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + rig.pid(i) + "/stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(words[USER_TIME]) + Long.parseLong(words[SYSTEM_TIME]);
        }
        return ticks / TICKS_IN_SECOND;
    }

    private static double resident(FleetRig rig) throws IOException {
        double bytes = 0;
        for (int i = 0; i < rig.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + rig.pid(i) + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    bytes += Double.parseDouble(line.replaceAll("[^0-9]", "")) * BYTES_IN_KB;
                }
            }
        }
        return bytes / rig.size();
    }

    private static Series series(
            String id,
            Resource resource,
            String unit,
            String ends,
            List<Figures> all,
            ToDoubleFunction<Figures> value) {
        List<Point> points = all.stream()
                .map(one -> new Point(one.relays(), value.applyAsDouble(one)))
                .toList();
        String method = String.format(
                Locale.ROOT,
                "real processes on loopback with a link for each pair, heap of 64 MB, watched for %.0f s; each relay",
                WATCHED_MS / MILLIS_IN_SECOND);
        return new Series(id, Role.RELAY_CONTROL, resource, unit, PER, method + ends, points);
    }
}
