package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * Tests placement without stated capacities, where the settings, the ratings in the endpoint list and reported loads
 * determine how full a server is.
 */
class UnstatedCapacityTest {
    private static BalancerHarness newHarness(boolean ratingsAreSizes) {
        BalancerSettings base = BalancerHarness.settings().build();
        BalancerSettings settings = BalancerSettingsBuilder.of(base.classes())
                .relayIndex(base.relayIndex())
                .relayCount(base.relayCount())
                .tenants(base.tenants())
                .sharedGroups(true)
                .endpointListPolled(true)
                .pollIntervalMicros(BalancerHarness.POLL_INTERVAL_MICROS)
                .connectTimeoutMicros(50_000)
                .retryAfterHonored(true)
                .maxRetryAfterMicros(60_000_000)
                .drainGraceMicros(BalancerHarness.DRAIN_GRACE_MICROS)
                .slowStartInitialFraction(0.3)
                .slowStartDurationMicros(8_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(2_000_000)
                .ratingsAreSizes(ratingsAreSizes)
                .build();
        BalancerHarness harness = new BalancerHarness(settings, StatedCapacities.NONE, InstallationLimits.NONE, 5);
        harness.listServers(2, 1);
        return harness;
    }

    private static String place(BalancerHarness harness, String id, String group) {
        harness.send(new ConnectRequested(
                id, 0, 0, id, group, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
        StartAttempt attempt = harness.latestAttempts.get(id);
        if (attempt == null) {
            return null;
        }
        harness.send(new ConnectionEstablished(id, 0, attempt.serverId(), 1_000));
        return attempt.serverId();
    }

    /** A default load may lower the weight of a server, but never closes it. */
    @Test
    void defaultLoadClosesNoServer() {
        BalancerHarness harness = newHarness(true);
        for (int i = 0; i < 300; i++) {
            assertThat(place(harness, "r" + i, null))
                    .as("server of request " + i)
                    .isNotNull();
        }
    }

    /**
     * If ratings are sizes, a unit of rating does one second of work per second; otherwise only evidence limits a
     * server.
     */
    @Test
    void reportedLoadsFillAServerOfListedSize() {
        for (boolean ratingsAreSizes : new boolean[] {true, false}) {
            BalancerHarness harness = newHarness(ratingsAreSizes);
            String busy = place(harness, "heavy", null);
            harness.send(new LoadReported("heavy", 0, busy, 900_000));
            int placedOnFull = 0;
            for (int i = 0; i < 60; i++) {
                placedOnFull += busy.equals(place(harness, "r" + i, null)) ? 1 : 0;
            }
            assertThat(placedOnFull > 0)
                    .as("requests placed on the busy server, ratings are sizes: " + ratingsAreSizes)
                    .isEqualTo(!ratingsAreSizes);
        }
    }

    /** Without the bound of {@link GroupPlacement}, a large group would use one server alone while others are idle. */
    @Test
    void groupContinuesOnAnotherServerIfOneExceedsItsBound() {
        BalancerHarness harness = newHarness(true);
        harness.listServers(6, 1);
        Map<String, Integer> connectionsByServer = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            connectionsByServer.merge(place(harness, "r" + i, "shop"), 1, Integer::sum);
        }
        assertThat(connectionsByServer.values())
                .as("connections by server, 10 on average")
                .allMatch(n -> n <= 20);
    }

    @Test
    void smallGroupStaysOnOneServer() {
        BalancerHarness harness = newHarness(false);
        harness.listServers(6, 1);
        String first = place(harness, "r0", "shop");
        assertThat(place(harness, "r1", "shop")).isEqualTo(first);
        assertThat(place(harness, "r2", "shop")).isEqualTo(first);
    }
}
