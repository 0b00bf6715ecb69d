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

/** The load balancer where no operator states capacities: settings, the endpoint list and reported loads decide. */
class UnstatedCapacityTest {
    private static BalancerHarness newHarness(boolean sized) {
        BalancerSettings s = BalancerHarness.settings().build();
        BalancerSettings with = BalancerSettingsBuilder.of(s.classes())
                .instanceIndex(s.instanceIndex())
                .instanceCount(s.instanceCount())
                .tenants(s.tenants())
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
                .ratingsAreSizes(sized)
                .build();
        BalancerHarness harness = new BalancerHarness(with, StatedCapacities.NONE, InstallationLimits.NONE, 5);
        harness.listServers(2, 1);
        return harness;
    }

    private static String place(BalancerHarness harness, String id, String group) {
        harness.send(new ConnectRequested(
                id, 0, 0, id, group, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
        StartAttempt a = harness.latestAttempts.get(id);
        if (a == null) {
            return null;
        }
        harness.send(new ConnectionEstablished(id, 0, a.serverId(), 1_000));
        return a.serverId();
    }

    /** It may prefer one, though. Figures of one deployment turned away 294 of 300 clients of two idle servers that tell no load. */
    @Test
    void defaultLoadClosesNoServer() {
        BalancerHarness harness = newHarness(true);
        for (int i = 0; i < 300; i++) {
            assertThat(place(harness, "r" + i, null)).as("request " + i).isNotNull();
        }
    }

    /** A unit of rating does a second of work a second, where ratings are sizes; where they are not, evidence alone counts. */
    @Test
    void reportedLoadsFillAServerOfListedSize() {
        for (boolean sized : new boolean[] {true, false}) {
            BalancerHarness harness = newHarness(sized);
            String full = place(harness, "heavy", null);
            harness.send(new LoadReported("heavy", 0, full, 900_000));
            int there = 0;
            for (int i = 0; i < 60; i++) {
                there += full.equals(place(harness, "r" + i, null)) ? 1 : 0;
            }
            assertThat(there > 0).as("sized " + sized).isEqualTo(!sized);
        }
    }

    /** By its hash alone a group stood whole at one server, 89 of 200 connections on one of eight, while others idled. */
    @Test
    void groupMovesOnWhereAServerExceedsItsBound() {
        BalancerHarness harness = newHarness(true);
        harness.listServers(6, 1);
        Map<String, Integer> held = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            held.merge(place(harness, "r" + i, "shop"), 1, Integer::sum);
        }
        assertThat(held.values()).as("of 10 each").allMatch(n -> n <= 20);
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
