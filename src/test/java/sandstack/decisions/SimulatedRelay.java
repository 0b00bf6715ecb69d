package sandstack.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.settings.BalancerSettingsBuilder;

/** One relay of a {@link SimulatedFleet}: its load balancer, or none while it restarts. */
final class SimulatedRelay {
    /** Message latency objective. */
    static final long MESSAGE_OBJECTIVE_MICROS = 150_000;

    final int index;
    final int zone;
    /** Null while the process is down. */
    LoadBalancer loadBalancer;

    boolean draining;
    /** Endpoint list that it keeps during a discovery outage; null while it receives updates. */
    List<EndpointEntry> cachedList;

    /**
     * Incremented when its process is started or killed; callbacks that were scheduled under an earlier number are
     * ignored.
     */
    int incarnation;

    /** Its clients by request id. */
    final Map<String, SimulatedClient> clients = new LinkedHashMap<>();

    final Map<String, Integer> attemptCounts = new HashMap<>();

    SimulatedRelay(int index, int zone) {
        this.index = index;
        this.zone = zone;
    }

    BalancerSettings settings(int relayCount, int zoneCount) {
        List<RequestClass> classes = new ArrayList<>();
        for (int classIndex = 0; classIndex < 3; classIndex++) {
            classes.add(new RequestClass(
                    classIndex == 2 ? 300_000 : 500_000,
                    classIndex == 2 ? 1_800_000 : 3_000_000,
                    SimulatedClient.WEIGHT_BY_CLASS[classIndex],
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    5_000_000,
                    MESSAGE_OBJECTIVE_MICROS));
        }
        return BalancerSettingsBuilder.of(classes)
                .relayIndex(index)
                .relayCount(relayCount)
                .homeZone(zone)
                .zoneCount(zoneCount)
                .sharedGroups(true)
                .pollIntervalMicros(10_000_000)
                .connectTimeoutMicros(100_000)
                .retryAfterHonored(true)
                .maxRetryAfterMicros(1_500_000)
                .healthCheckCost(0.002)
                .gossipAllowed(true)
                .gossipCost(0.01)
                .crossZoneCost(0.08)
                .migrationCost(0.01)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .slowStartDurationMicros(23_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .build();
    }
}
