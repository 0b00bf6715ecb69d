package sandstack.settings;

import java.util.List;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;

/** Settings shared by tests of a complete relay. */
public final class TestSettings {
    private TestSettings() {}

    /** Settings of one relay in one zone, with two equal request classes, shared groups and a polled endpoint list. */
    public static BalancerSettings oneRelayWithGroups() {
        RequestClass requestClass =
                new RequestClass(320_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 100_000);
        return BalancerSettingsBuilder.of(List.of(requestClass, requestClass))
                .sharedGroups(true)
                .endpointListPolled(true)
                .pollIntervalMicros(10_000_000)
                .connectTimeoutMicros(100_000)
                .maxRetryAfterMicros(1_500_000)
                .crossZoneCost(0.1)
                .migrationCost(0.01)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .slowStartDurationMicros(23_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .build();
    }
}
