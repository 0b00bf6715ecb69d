package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;

/**
 * What it costs to keep one configuration in force at a whole fleet, and how long a change takes: the real publishers
 * and followers of seven control machines and up to 5,600 relays, in simulated time on a counted network. The consensus
 * among the control machines is modelled, its own messages and processor time are not in these figures.
 */
public final class ConfigurationScale implements ScaleMeasurement {
    private static final List<Integer> SIZES_FULL = List.of(50, 200, 800, 2_400, 5_600);
    private static final List<Integer> SIZES_QUICK = List.of(50, 800, 2_400);
    private static final List<Integer> SIZES_SMALL = List.of(50, 200, 800);
    private static final FleetScenario.Durations SMALL = new FleetScenario.Durations(20, 1, 20, 10, false);
    private static final FleetScenario.Durations QUICK = new FleetScenario.Durations(10, 1, 15, 5, true);
    private static final FleetScenario.Durations FULL = new FleetScenario.Durations(60, 5, 600, 20, true);
    private static final long SEED = 40;
    private static final String RELAYS = "relays";
    private static final String METHOD_SUFFIX =
            "hollow relays with 7 control machines in simulated time, configuration of 28 KB";

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<Series> measure(Effort effort) {
        FleetScenario.Durations durations =
                switch (effort) {
                    case SMALL -> SMALL;
                    case QUICK -> QUICK;
                    case FULL -> FULL;
                };
        List<FleetScenarioResult> results = new ArrayList<>();
        for (int relays : sizes(effort)) {
            results.add(new FleetScenario(relays, durations, SEED).run());
        }
        List<Series> series = new ArrayList<>();
        series.addAll(relaySeries(results));
        series.addAll(controlSeries(results));
        series.addAll(latencySeries(results));
        if (durations.measuresCosts()) {
            series.addAll(costSeries(results));
            series.add(ConfigurationHeap.series());
        }
        return series;
    }

    private static List<Integer> sizes(Effort effort) {
        return switch (effort) {
            case SMALL -> SIZES_SMALL;
            case QUICK -> SIZES_QUICK;
            case FULL -> SIZES_FULL;
        };
    }

    private static List<Series> relaySeries(List<FleetScenarioResult> results) {
        return List.of(
                relay(
                        "idle-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "sent and received, nothing changes",
                        results,
                        f -> f.idle().relayBytes()),
                relay(
                        "idle-messages",
                        Resource.MESSAGES,
                        "messages/s",
                        "sent and received, nothing changes",
                        results,
                        f -> f.idle().relayMessages()),
                relay(
                        "changing-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "at 3,700 changes a day",
                        results,
                        f -> f.changing().relayBytes()),
                relay(
                        "changing-messages",
                        Resource.MESSAGES,
                        "messages/s",
                        "at 3,700 changes a day",
                        results,
                        f -> f.changing().relayMessages()),
                relay(
                        "apart-most-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "of the relay with most, while two regions are apart",
                        results,
                        f -> f.partitioned().busiestRelayBytes()));
    }

    private static List<Series> controlSeries(List<FleetScenarioResult> results) {
        return List.of(
                control(
                        "sessions",
                        Resource.STATE,
                        "relays",
                        "the most at one machine in the whole run",
                        results,
                        FleetScenarioResult::maxSessions),
                control(
                        "idle-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "the busiest machine, nothing changes",
                        results,
                        f -> f.idle().controlBytes()),
                control(
                        "changing-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "the busiest machine, 3,700 changes a day",
                        results,
                        f -> f.changing().controlBytes()),
                control(
                        "changing-messages",
                        Resource.MESSAGES,
                        "messages/s",
                        "the busiest machine, 3,700 changes a day",
                        results,
                        f -> f.changing().controlMessages()),
                control(
                        "other-region-bytes",
                        Resource.NETWORK,
                        "bytes/s",
                        "the part that crosses regions, 3,700 changes a day",
                        results,
                        f -> f.changing().controlOtherRegionBytes()),
                control(
                        "hellos-after-kill",
                        Resource.MESSAGES,
                        "hellos/s",
                        "busiest second at the busiest machine after another was lost",
                        results,
                        FleetScenarioResult::peakHellosAfterKill),
                control(
                        "hellos-apart",
                        Resource.MESSAGES,
                        "hellos/s",
                        "busiest second at the busiest machine while regions were apart",
                        results,
                        FleetScenarioResult::peakHellosDuringPartition),
                control(
                        "hellos-zone-back",
                        Resource.MESSAGES,
                        "hellos/s",
                        "busiest second at the busiest machine as a zone of eight starts",
                        results,
                        FleetScenarioResult::peakHellosAfterZoneStart));
    }

    private static List<Series> latencySeries(List<FleetScenarioResult> results) {
        return List.of(
                latency(
                        "in-force-everywhere",
                        "from agreement to the last relay, the slowest of the changes",
                        results,
                        FleetScenarioResult::activationSeconds),
                latency(
                        "in-force-after-kill",
                        "the same as the machine with most relays is lost silently",
                        results,
                        FleetScenarioResult::activationAfterKillSeconds),
                latency(
                        "equal-after-regions-apart",
                        "from the heal until all relays hold the same",
                        results,
                        FleetScenarioResult::convergenceAfterPartitionSeconds),
                latency(
                        "equal-after-zone-back",
                        "from the start of a zone's relays until all hold the same",
                        results,
                        FleetScenarioResult::convergenceAfterZoneStartSeconds),
                latency(
                        "equal-after-start",
                        "from the start of all relays with empty disks",
                        results,
                        FleetScenarioResult::convergenceAfterStartSeconds));
    }

    private static List<Series> costSeries(List<FleetScenarioResult> results) {
        return List.of(
                relay(
                        "idle-processor",
                        Resource.PROCESSOR,
                        "us/s",
                        "thread time, nothing changes",
                        results,
                        f -> f.idle().relayCpuMicros()),
                relay(
                        "changing-processor",
                        Resource.PROCESSOR,
                        "us/s",
                        "thread time, 3,700 changes a day",
                        results,
                        f -> f.changing().relayCpuMicros()),
                relay(
                        "memory",
                        Resource.MEMORY,
                        "bytes",
                        "heap of the process after collection by the number of relays",
                        results,
                        FleetScenarioResult::heapBytesPerRelay),
                control(
                        "changing-processor",
                        Resource.PROCESSOR,
                        "us/s",
                        "thread time, 3,700 changes a day",
                        results,
                        f -> f.changing().controlCpuMicros()));
    }

    private static Series relay(
            String id,
            Resource resource,
            String unit,
            String method,
            List<FleetScenarioResult> results,
            ToDoubleFunction<FleetScenarioResult> value) {
        return series("configuration.relay." + id, Role.RELAY_CONTROL, resource, unit, method, results, value);
    }

    private static Series control(
            String id,
            Resource resource,
            String unit,
            String method,
            List<FleetScenarioResult> results,
            ToDoubleFunction<FleetScenarioResult> value) {
        return series("configuration.control." + id, Role.CONTROL_MACHINE, resource, unit, method, results, value);
    }

    private static Series latency(
            String id, String method, List<FleetScenarioResult> results, ToDoubleFunction<FleetScenarioResult> value) {
        return series("configuration.latency." + id, Role.RELAY_CONTROL, Resource.LATENCY, "s", method, results, value);
    }

    private static Series series(
            String id,
            Role role,
            Resource resource,
            String unit,
            String method,
            List<FleetScenarioResult> results,
            ToDoubleFunction<FleetScenarioResult> value) {
        List<Point> points = results.stream()
                .map(f -> new Point(f.relays(), value.applyAsDouble(f)))
                .toList();
        return new Series(id, role, resource, unit, RELAYS, method + "; " + METHOD_SUFFIX, points);
    }
}
