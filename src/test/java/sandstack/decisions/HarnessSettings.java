package sandstack.decisions;

import java.util.List;
import sandstack.settings.BalancerSettingsBuilder;

/** Builds the settings of a {@link BalancerHarness}; tests set the values that they vary. */
final class HarnessSettings {
    private List<RequestClass> classes = List.of(requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
    private int maxAttempts = 4;
    private int homeZone;
    private int relayCount = 10;
    private long drainGraceMicros = BalancerHarness.DRAIN_GRACE_MICROS;
    private boolean endpointListPolled;
    private boolean retryAfterHonored = true;

    private static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return requestClass(1, idempotency, scope);
    }

    private static RequestClass requestClass(double weight, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                BalancerHarness.LATENCY_OBJECTIVE_MICROS,
                BalancerHarness.DEADLINE_MICROS,
                weight,
                idempotency,
                scope,
                BalancerHarness.DEDUPLICATION_WINDOW_MICROS,
                BalancerHarness.MESSAGE_OBJECTIVE_MICROS);
    }

    HarnessSettings classes(double weight, double otherWeight) {
        classes = List.of(
                requestClass(weight, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                requestClass(otherWeight, Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        return this;
    }

    HarnessSettings idempotency(Idempotency idempotency, DeduplicationScope scope) {
        classes = List.of(requestClass(idempotency, scope));
        return this;
    }

    HarnessSettings noClasses() {
        classes = List.of();
        return this;
    }

    HarnessSettings maxAttempts(int count) {
        maxAttempts = count;
        return this;
    }

    HarnessSettings homeZone(int zone) {
        homeZone = zone;
        return this;
    }

    HarnessSettings relayCount(int count) {
        relayCount = count;
        return this;
    }

    HarnessSettings drainGraceMicros(long durationMicros) {
        drainGraceMicros = durationMicros;
        return this;
    }

    HarnessSettings pollEndpointList() {
        endpointListPolled = true;
        return this;
    }

    HarnessSettings retryAfterNotHonored() {
        retryAfterHonored = false;
        return this;
    }

    BalancerSettings build() {
        return BalancerSettingsBuilder.of(classes)
                .relayCount(relayCount)
                .homeZone(homeZone)
                .zoneCount(2)
                .sharedGroups(true)
                .endpointListPolled(endpointListPolled)
                .pollIntervalMicros(BalancerHarness.POLL_INTERVAL_MICROS)
                .maxAttempts(maxAttempts)
                .connectTimeoutMicros(50_000)
                .retryAfterHonored(retryAfterHonored)
                .maxRetryAfterMicros(60_000_000)
                .healthCheckCost(0.002)
                .gossipAllowed(true)
                .gossipCost(0.01)
                .crossZoneCost(0.08)
                .migrationCost(0.01)
                .drainGraceMicros(drainGraceMicros)
                .slowStartInitialFraction(0.3)
                .slowStartDurationMicros(8_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(2_000_000)
                .build();
    }
}
