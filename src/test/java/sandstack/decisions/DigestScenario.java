package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.capacity.StatedCapacity;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * The configuration of the load balancer and of the event stream for one seed of {@link DecisionDigestTest}.
 *
 * @param seed seed of the load balancer and of the event stream
 * @param settings initial settings
 * @param statedCapacities stated capacities
 * @param limits limits of the installation
 * @param loadsReported whether connections report their loads
 * @param delaysReported whether connections report message delays
 */
record DigestScenario(
        int seed,
        BalancerSettings settings,
        StatedCapacities statedCapacities,
        InstallationLimits limits,
        boolean loadsReported,
        boolean delaysReported) {
    static final int COUNT = 10;
    static final long MESSAGE_OBJECTIVE_MICROS = 100_000;

    private static final int[] RELAY_COUNTS = {1, 3, 100, 1, 3, 1, 100, 3, 1, 3};
    private static final int[] ZONE_COUNTS = {3, 3, 1, 1, 3, 3, 3, 1, 3, 3};
    private static final int[] HOME_ZONES = {0, 1, 0, 0, 2, 1, 0, 0, 0, 2};
    private static final int[] STATED_CAPACITY_VARIANTS = {1, 0, 3, 2, 2, 0, 1, 3, 2, 1};
    private static final boolean[] LIMITED = {false, false, false, true, false, true, false, false, false, true};
    private static final boolean[] LOADS_REPORTED = {true, false, true, true, true, false, true, true, false, true};
    private static final boolean[] DELAYS_REPORTED = {false, true, false, false, true, true, true, false, false, true};
    private static final boolean[] SHARED_GROUPS = {true, true, false, false, true, false, true, true, false, true};
    private static final List<DeduplicationScope> SCOPES =
            List.of(DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL);
    private static final StatedCapacity UPPER_BOUND = new StatedCapacity(1e6, 0, true, 1e6 / 15, 3);
    private static final StatedCapacity LARGE_UPPER_BOUND = new StatedCapacity(3e6, 0, true, 1e6 / 30, 1);
    private static final StatedCapacity START_ESTIMATE = new StatedCapacity(1_500_000, 20, false, 40_000, 2);

    /** The scenario of a seed, from 0 to {@link #COUNT} - 1. */
    static DigestScenario of(int seed) {
        StatedCapacities statedCapacities =
                switch (STATED_CAPACITY_VARIANTS[seed]) {
                    case 0 -> StatedCapacities.NONE;
                    case 1 -> new StatedCapacities(UPPER_BOUND, List.of());
                    case 3 -> new StatedCapacities(LARGE_UPPER_BOUND, List.of());
                    default -> new StatedCapacities(
                            START_ESTIMATE,
                            List.of(START_ESTIMATE, new StatedCapacity(2_000_000, 15, false, 40_000, 2)));
                };
        InstallationLimits limits = LIMITED[seed] ? new InstallationLimits(170, 14, 9, 20) : InstallationLimits.NONE;
        return new DigestScenario(
                seed, settings(seed), statedCapacities, limits, LOADS_REPORTED[seed], DELAYS_REPORTED[seed]);
    }

    private static BalancerSettings settings(int seed) {
        return BalancerSettingsBuilder.of(classes(seed))
                .relayIndex(seed % RELAY_COUNTS[seed])
                .relayCount(RELAY_COUNTS[seed])
                .homeZone(HOME_ZONES[seed])
                .zoneCount(ZONE_COUNTS[seed])
                .tenants(List.of(new Tenant(20, 0.5), new Tenant(60, 0.3), new Tenant(0, 0.2)))
                .overQuotaWeight(seed % 3 == 0 ? 1 : 0.2)
                .weightPerUnitOfWork(seed % 3 == 1)
                .passThrough(seed % 4 == 3)
                .sharedGroups(SHARED_GROUPS[seed])
                .endpointListPolled(seed % 2 == 0)
                .pollIntervalMicros(10_000_000)
                .maxAttempts(2 + seed % 4)
                .connectTimeoutMicros(seed % 3 == 2 ? 100_000 : 50_000)
                .retryAfterHonored(seed % 2 == 1)
                .maxRetryAfterMicros(seed % 3 == 0 ? 20_000_000 : 1_500_000)
                .crossZoneCost(0.1)
                .migrationCost(0.012)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.2)
                .slowStartDurationMicros(8_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .ratingsAreSizes(seed == 5 || seed % 4 == 2)
                .build();
    }

    private static List<RequestClass> classes(int seed) {
        DeduplicationScope scope = SCOPES.get(seed % SCOPES.size());
        return List.of(
                new RequestClass(
                        320_000,
                        2_000_000,
                        5,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        MESSAGE_OBJECTIVE_MICROS),
                new RequestClass(
                        500_000, 3_000_000, 1, Idempotency.WITH_KEY, scope, 800_000, MESSAGE_OBJECTIVE_MICROS * 3 / 2),
                new RequestClass(500_000, 3_000_000, 2, Idempotency.NOT_IDEMPOTENT, scope, 0, 0));
    }

    /**
     * Draws settings for a reload: other latency objectives, possibly one more class, another limit of attempts and
     * possibly another number of relays.
     */
    static BalancerSettings reloaded(BalancerSettings from, SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass old : from.classes()) {
            classes.add(new RequestClass(
                    200_000 + random.nextInt(400_000),
                    old.deadlineMicros(),
                    old.priorityWeight(),
                    old.idempotency(),
                    old.deduplicationScope(),
                    old.deduplicationWindowMicros(),
                    old.messageLatencyObjectiveMicros()));
        }
        if (classes.size() < 6 && random.nextBoolean()) {
            classes.add(new RequestClass(
                    400_000,
                    2_500_000,
                    1 + random.nextInt(6),
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    MESSAGE_OBJECTIVE_MICROS));
        }
        return BalancerSettingsBuilder.from(from)
                .classes(classes)
                .maxAttempts(1 + random.nextInt(6))
                .relayCount(Math.max(from.relayIndex() + 1, from.relayCount() + random.nextInt(3) - 1))
                .build();
    }
}
