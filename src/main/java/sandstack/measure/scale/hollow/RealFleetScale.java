package sandstack.measure.scale.hollow;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import sandstack.faultinjection.ProcessFleet;
import sandstack.measure.FleetUsage;
import sandstack.measure.RelayProcess;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;

/**
 * Fleets of real processes on loopback, for comparison with hollow ones: traffic, processor time and memory of a
 * member, and the time until a kill is detected.
 */
public final class RealFleetScale implements ScaleMeasurement {
    private static final String PER = "relays";
    private static final int[] SIZES = {10, 20, 50};
    private static final int ZONES = 3;
    private static final double TIMEOUT_SECONDS = 60;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long OBSERVED_MILLIS = 10_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Costs of one member, the time until no other member sees a killed member as alive, and the time until all others
     * have declared it lost.
     */
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

    /** Starts many processes, so runs with {@link Effort#FULL} only. */
    @Override
    public List<Series> measure(Effort effort) throws IOException, InterruptedException {
        if (effort != Effort.FULL) {
            return List.of();
        }
        List<Costs> costs = new ArrayList<>();
        String truncation = "";
        for (int size : SIZES) {
            try {
                costs.add(measure(size));
            } catch (IOException e) {
                truncation = "; ends before " + size + " relays: " + e.getMessage();
                break;
            }
        }
        return series(costs, truncation);
    }

    private static List<Series> series(List<Costs> costs, String truncation) {
        return List.of(
                series(
                        "real-fleet.bytes",
                        Resource.NETWORK,
                        "bytes a second",
                        truncation,
                        costs,
                        Costs::bytesPerSecond),
                series(
                        "real-fleet.processor",
                        Resource.PROCESSOR,
                        "ms a second",
                        truncation,
                        costs,
                        Costs::cpuMillisPerSecond),
                series("real-fleet.resident", Resource.MEMORY, "bytes", truncation, costs, Costs::residentBytes),
                series(
                        "real-fleet.kill.seconds",
                        Resource.LATENCY,
                        "seconds",
                        truncation,
                        costs,
                        Costs::detectedSeconds),
                series(
                        "real-fleet.given-up.seconds",
                        Resource.LATENCY,
                        "seconds",
                        truncation,
                        costs,
                        Costs::lostSeconds));
    }

    private Costs measure(int size) throws IOException, InterruptedException {
        try (ProcessFleet fleet = new ProcessFleet(List.of("-jar", jar.toString()), size, ZONES)) {
            fleet.startAll();
            if (ProcessFleet.awaitMicros(fleet::allAlive, TIMEOUT_SECONDS + size) < 0) {
                throw new IOException("did not see itself whole within " + (TIMEOUT_SECONDS + size) + " s");
            }
            Thread.sleep(SETTLE_MILLIS);
            long bytesBefore = fleet.forwardedBytes();
            double processorBefore = FleetUsage.processorSeconds(fleet);
            long startNanos = System.nanoTime();
            Thread.sleep(OBSERVED_MILLIS);
            double memberSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND * size;
            double bytesPerSecond = (fleet.forwardedBytes() - bytesBefore) / memberSeconds;
            double cpuMillisPerSecond =
                    (FleetUsage.processorSeconds(fleet) - processorBefore) * MILLIS_PER_SECOND / memberSeconds;
            double residentBytes = FleetUsage.meanResidentBytes(fleet);
            fleet.kill(size - 1);
            long killNanos = System.nanoTime();
            awaitStatusEverywhere(fleet, size - 1, status -> !"ALIVE".equals(status));
            double detectedSeconds = (System.nanoTime() - killNanos) / NANOS_PER_SECOND;
            awaitStatusEverywhere(fleet, size - 1, "LOST"::equals);
            return new Costs(
                    size,
                    bytesPerSecond,
                    cpuMillisPerSecond,
                    residentBytes,
                    detectedSeconds,
                    (System.nanoTime() - killNanos) / NANOS_PER_SECOND);
        }
    }

    private static void awaitStatusEverywhere(ProcessFleet fleet, int victim, Predicate<String> expected)
            throws IOException {
        long micros = ProcessFleet.awaitMicros(
                () -> {
                    for (int i = 0; i < victim; i++) {
                        Map<String, String> statuses = fleet.memberStatuses(i);
                        if (statuses == null || !expected.test(statuses.get(ProcessFleet.memberName(victim)))) {
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

    private static Series series(
            String id,
            Resource resource,
            String unit,
            String truncation,
            List<Costs> samples,
            ToDoubleFunction<Costs> value) {
        String method = String.format(
                Locale.ROOT,
                "real processes on loopback with a link for each pair, heap of 64 MB, watched for %.0f s; each relay",
                OBSERVED_MILLIS / MILLIS_PER_SECOND);
        return new Series(
                id,
                Role.RELAY_CONTROL,
                resource,
                unit,
                PER,
                method + truncation,
                Series.points(samples, Costs::relays, value));
    }
}
