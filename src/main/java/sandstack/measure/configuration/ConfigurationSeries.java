package sandstack.measure.configuration;

import java.util.List;
import java.util.function.ToDoubleFunction;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.Series;

/** Converts the results of {@link FleetScenario} at several fleet sizes to series. */
final class ConfigurationSeries {
    private static final String PER = "relays";
    private static final String METHOD_SUFFIX =
            "; hollow relays with 7 control machines in simulated time, configuration of 28 KB";

    /** Measured quantities, with their resources and units. */
    private enum Quantity {
        BYTES(Resource.NETWORK, "bytes/s"),
        MESSAGES(Resource.MESSAGES, "messages/s"),
        HELLOS(Resource.MESSAGES, "hellos/s"),
        PROCESSOR(Resource.PROCESSOR, "us/s"),
        HEAP(Resource.MEMORY, "bytes"),
        SESSIONS(Resource.STATE, "relays"),
        SECONDS(Resource.LATENCY, "s");

        private final Resource resource;
        private final String unit;

        Quantity(Resource resource, String unit) {
            this.resource = resource;
            this.unit = unit;
        }
    }

    private final List<FleetScenarioResult> results;

    ConfigurationSeries(List<FleetScenarioResult> results) {
        this.results = List.copyOf(results);
    }

    /** Traffic of a relay while idle, with changes, and during a partition of the regions. */
    List<Series> ofRelays() {
        String idle = "sent and received, nothing changes";
        String changing = "at 3,700 changes a day";
        String partitioned = "of the relay with most, while two regions are apart";
        return List.of(
                relay("idle-bytes", Quantity.BYTES, idle, r -> r.idle().relayBytes()),
                relay("idle-messages", Quantity.MESSAGES, idle, r -> r.idle().relayMessages()),
                relay("changing-bytes", Quantity.BYTES, changing, r -> r.changing()
                        .relayBytes()),
                relay("changing-messages", Quantity.MESSAGES, changing, r -> r.changing()
                        .relayMessages()),
                relay("apart-most-bytes", Quantity.BYTES, partitioned, r -> r.partitioned()
                        .busiestRelayBytes()));
    }

    /** Sessions and traffic of the busiest control machine. */
    List<Series> ofControlMachines() {
        String idle = "the busiest machine, nothing changes";
        String changing = "the busiest machine, 3,700 changes a day";
        String otherRegion = "the part that crosses regions, 3,700 changes a day";
        String afterKill = "busiest second at the busiest machine after another was lost";
        String partitioned = "busiest second at the busiest machine while regions were apart";
        String zoneStart = "busiest second at the busiest machine as a zone of eight starts";
        return List.of(
                control(
                        "sessions",
                        Quantity.SESSIONS,
                        "the most at one machine in the whole run",
                        FleetScenarioResult::maxSessions),
                control("idle-bytes", Quantity.BYTES, idle, r -> r.idle().controlBytes()),
                control("changing-bytes", Quantity.BYTES, changing, r -> r.changing()
                        .controlBytes()),
                control("changing-messages", Quantity.MESSAGES, changing, r -> r.changing()
                        .controlMessages()),
                control("other-region-bytes", Quantity.BYTES, otherRegion, r -> r.changing()
                        .controlOtherRegionBytes()),
                control("hellos-after-kill", Quantity.HELLOS, afterKill, r -> r.kill()
                        .peakHellos()),
                control("hellos-apart", Quantity.HELLOS, partitioned, r -> r.partition()
                        .peakHellos()),
                control("hellos-zone-back", Quantity.HELLOS, zoneStart, r -> r.zoneStart()
                        .peakHellos()));
    }

    /** Times until changes are active and relays have converged. */
    List<Series> latencies() {
        String afterKill = "the same as the machine with most relays is lost silently";
        String afterPartition = "from the heal until all relays hold the same";
        String afterZoneStart = "from the start of a zone's relays until all hold the same";
        return List.of(
                latency(
                        "in-force-everywhere",
                        "from agreement to the last relay, the slowest of the changes",
                        FleetScenarioResult::activationSeconds),
                latency("in-force-after-kill", afterKill, r -> r.kill().seconds()),
                latency("equal-after-regions-apart", afterPartition, r -> r.partition()
                        .seconds()),
                latency("equal-after-zone-back", afterZoneStart, r -> r.zoneStart()
                        .seconds()),
                latency(
                        "equal-after-start",
                        "from the start of all relays with empty disks",
                        FleetScenarioResult::convergenceAfterStartSeconds));
    }

    /** Processor time and heap, which differ from run to run. */
    List<Series> costs() {
        String idle = "thread time, nothing changes";
        String changing = "thread time, 3,700 changes a day";
        return List.of(
                relay("idle-processor", Quantity.PROCESSOR, idle, r -> r.idle().relayCpuMicros()),
                relay("changing-processor", Quantity.PROCESSOR, changing, r -> r.changing()
                        .relayCpuMicros()),
                relay(
                        "memory",
                        Quantity.HEAP,
                        "heap of the process after collection by the number of relays",
                        FleetScenarioResult::heapBytesPerRelay),
                control("changing-processor", Quantity.PROCESSOR, changing, r -> r.changing()
                        .controlCpuMicros()));
    }

    private Series relay(String id, Quantity quantity, String method, ToDoubleFunction<FleetScenarioResult> value) {
        return series("relay." + id, Role.RELAY_CONTROL, quantity, method, value);
    }

    private Series control(String id, Quantity quantity, String method, ToDoubleFunction<FleetScenarioResult> value) {
        return series("control." + id, Role.CONTROL_MACHINE, quantity, method, value);
    }

    private Series latency(String id, String method, ToDoubleFunction<FleetScenarioResult> value) {
        return series("latency." + id, Role.RELAY_CONTROL, Quantity.SECONDS, method, value);
    }

    private Series series(
            String id, Role role, Quantity quantity, String method, ToDoubleFunction<FleetScenarioResult> value) {
        return new Series(
                "configuration." + id,
                role,
                quantity.resource,
                quantity.unit,
                PER,
                method + METHOD_SUFFIX,
                Series.points(results, FleetScenarioResult::relays, value));
    }
}
