package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.settings.BalancerSettingsBuilder;

/** Settings reloads while requests are pending. */
class SettingsReloadTest {
    private static final RequestClass NON_IDEMPOTENT = new RequestClass(
            BalancerHarness.LATENCY_OBJECTIVE_MICROS,
            BalancerHarness.DEADLINE_MICROS,
            5,
            Idempotency.NOT_IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            BalancerHarness.MESSAGE_OBJECTIVE_MICROS);

    private static BalancerSettings withClass(BalancerSettings before, RequestClass added) {
        List<RequestClass> classes = new ArrayList<>(before.classes());
        classes.add(added);
        return BalancerSettingsBuilder.from(before).classes(classes).build();
    }

    private static StartAttempt firstAttempt(List<BalancerAction> actions) {
        return actions.stream()
                .filter(StartAttempt.class::isInstance)
                .map(StartAttempt.class::cast)
                .findFirst()
                .orElse(null);
    }

    @Test
    void addedClassIsServedByItsOwnRules() {
        BalancerSettings before = BalancerHarness.settings().build();
        LoadBalancer loadBalancer =
                new LoadBalancer(before, BalancerHarness.PLATFORM_CAPACITIES, InstallationLimits.NONE, 3, 1_000_000);
        List<EndpointEntry> list = List.of(
                new EndpointEntry("s0", 0, 0, 0, 0, EndpointState.READY, 1),
                new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1));
        loadBalancer.handle(new BalancerEvent.EndpointListUpdate(EndpointListKind.FULL, list), 1_000_000);
        ConnectRequested request = new ConnectRequested("a", 1, 0, "k", null, 3_000_000, 0, false, false);
        assertThat(loadBalancer.handle(request, 1_000_000)).containsExactly(new Fail("a"));
        loadBalancer.handle(new SettingsChanged(withClass(before, NON_IDEMPOTENT)), 1_000_000);
        StartAttempt attempt = firstAttempt(
                loadBalancer.handle(new ConnectRequested("b", 1, 0, "k", null, 3_000_000, 0, false, false), 1_000_000));
        assertThat(attempt).isNotNull();
        assertThat(loadBalancer.handle(
                        new AttemptEnded("b", 0, attempt.serverId(), AttemptOutcome.RESET, false, 1000, null),
                        1_001_000))
                .containsExactly(new Fail("b"));
    }

    @Test
    void pendingRequestHasTheLowerAttemptLimit() {
        for (int[] change : new int[][] {{4, 2, 2}, {2, 4, 2}, {4, 4, 4}}) {
            BalancerHarness harness = new BalancerHarness(
                    BalancerHarness.settings().maxAttempts(change[0]).build(), 9);
            harness.listServers(9, 1);
            harness.sendRequest("a", "k");
            harness.send(new SettingsChanged(
                    BalancerHarness.settings().maxAttempts(change[1]).build()));
            for (int i = 0; i < change[2]; i++) {
                harness.advance(300_000);
                StartAttempt attempt = harness.latestAttempts.get("a");
                harness.send(
                        new AttemptEnded("a", i, attempt.serverId(), AttemptOutcome.CONNECT_FAILED, false, 1000, null));
            }
            harness.finish();
            assertThat(harness.attemptCounts.get("a"))
                    .as("attempts with maxAttempts changed from %d to %d", change[0], change[1])
                    .isLessThanOrEqualTo(change[2]);
            assertThat(harness.allActions).anyMatch(Reject.class::isInstance);
        }
    }

    @Test
    void ejectionsSurviveAReload() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 6);
        harness.listServers(2, 1);
        assertThat(harness.loadBalancer.isClosedToNewRequests("s0")).isFalse();
        harness.sendRequest("a", "k");
        String serverId = harness.latestAttempts.get("a").serverId();
        harness.send(new AttemptEnded("a", 0, serverId, AttemptOutcome.CONNECT_FAILED, false, 1000, null));
        assertThat(harness.loadBalancer.isClosedToNewRequests(serverId)).isTrue();
        harness.send(new SettingsChanged(withClass(harness.settings, NON_IDEMPOTENT)));
        assertThat(harness.loadBalancer.isClosedToNewRequests(serverId)).isTrue();
        harness.finish();
    }

    /** During a handover, both processes share the slow-start budget of one relay. */
    @Test
    void twoProcessesShareTheSlowStartBudget() {
        int alone = 0;
        int together = 0;
        for (int seed = 0; seed < 20; seed++) {
            alone += countSlowStartAttempts(seed, 1);
            together += countSlowStartAttempts(seed, 2) + countSlowStartAttempts(seed + 100, 2);
        }
        assertThat(alone).isGreaterThan(40);
        assertThat((double) together).isBetween(alone * 0.7, alone * 1.2);
    }

    private static int countSlowStartAttempts(int seed, int processes) {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().relayCount(2).build(), seed);
        harness.listServers(2, 1);
        harness.send(new ProcessCountChanged(processes));
        harness.restartServer("s0");
        for (int i = 0; i < 60; i++) {
            harness.advance(50_000);
            harness.sendRequest("r" + i, "k" + i);
        }
        return (int) harness.latestAttempts.values().stream()
                .filter(attempt -> attempt.serverId().equals("s0"))
                .count();
    }
}
