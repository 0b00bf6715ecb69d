package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.RejectionReason;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.LoadReported;

/**
 * Tests that placement follows evidence of the capacity of servers, and that it enforces the limits of an installation.
 */
class CapacityEvidenceTest {
    private static BalancerHarness newHarness(InstallationLimits limits, int servers) {
        BalancerHarness harness =
                new BalancerHarness(BalancerHarness.settings().classes(5, 1).build(), StatedCapacities.NONE, limits, 4);
        harness.listServers(servers, 1);
        return harness;
    }

    /** Requests a connection and establishes it; null if no attempt was started. */
    private static StartAttempt establish(BalancerHarness harness, String id, int requestClass, String group) {
        harness.nowMicros += 1_000;
        harness.send(new ConnectRequested(
                id, requestClass, 0, id, group, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
        StartAttempt attempt = harness.latestAttempts.get(id);
        if (attempt != null) {
            harness.send(new ConnectionEstablished(id, 0, attempt.serverId(), 500));
        }
        return attempt;
    }

    /** Sends requests until each of these servers has rejected one. */
    private static void fillServers(BalancerHarness harness, List<String> servers) {
        Set<String> full = new HashSet<>();
        for (int i = 0; !full.containsAll(servers); i++) {
            String id = "full" + i;
            harness.nowMicros += 1_000;
            harness.send(new ConnectRequested(
                    id, 0, 0, id, "f" + i, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
            StartAttempt attempt = harness.latestAttempts.get(id);
            if (attempt != null) {
                full.add(attempt.serverId());
                harness.send(new AttemptEnded(id, 0, attempt.serverId(), AttemptOutcome.REJECTED, false, 300, null));
                harness.send(new ClientDisconnected(id));
            }
        }
    }

    private static List<Reject> rejections(BalancerHarness harness) {
        return harness.allActions.stream()
                .flatMap(action -> action instanceof Reject rejection ? Stream.of(rejection) : Stream.empty())
                .toList();
    }

    @Test
    void serversWithoutReportsTakeEveryClient() {
        BalancerHarness harness = newHarness(InstallationLimits.NONE, 2);
        for (int i = 0; i < 1_000; i++) {
            assertThat(establish(harness, "r" + i, 0, "g" + i % 20))
                    .as("attempt of client " + i)
                    .isNotNull();
        }
        assertThat(rejections(harness)).isEmpty();
    }

    @Test
    void fullFleetRejectsAtOnceWithRetryAfter() {
        BalancerHarness harness = newHarness(InstallationLimits.NONE, 3);
        for (int i = 0; i < 60; i++) {
            establish(harness, "r" + i, 0, "g" + i);
        }
        fillServers(harness, List.of("s0", "s1", "s2"));
        int before = rejections(harness).size();
        List<String> rejected = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            harness.nowMicros += 100;
            String id = "late" + i;
            harness.send(new ConnectRequested(
                    id, 0, 0, id, "h" + i, harness.nowMicros + BalancerHarness.DEADLINE_MICROS, 0, false, false));
            StartAttempt attempt = harness.latestAttempts.get(id);
            if (attempt != null) {
                harness.send(new AttemptEnded(id, 0, attempt.serverId(), AttemptOutcome.REJECTED, false, 300, null));
            }
            rejected.add(id);
        }
        assertThat(harness.answeredRequests)
                .as("requests answered at once, without a retry after a backoff")
                .containsAll(rejected);
        assertThat(rejections(harness))
                .hasSize(before + 40)
                .allMatch(r -> r.reason() == RejectionReason.FULL && r.retryAfterMicros() > 0);
        long attempted =
                rejected.stream().filter(harness.latestAttempts::containsKey).count();
        assertThat(attempted)
                .as("attempted requests, of 40 on 3 full servers, where one rejection by a server is evidence enough")
                .isLessThanOrEqualTo(6);
        // the end of a connection frees capacity for another
        harness.send(new AttemptEnded(
                "r0", 0, harness.latestAttempts.get("r0").serverId(), AttemptOutcome.OK, true, 1, null));
        harness.nowMicros += 2 * BalancerHarness.DEADLINE_MICROS;
        assertThat(establish(harness, "next", 0, "g0")).isNotNull();
    }

    @Test
    void lastCapacityIsReservedForTheClassOfHigherPriority() {
        BalancerHarness harness = newHarness(InstallationLimits.NONE, 2);
        for (int i = 0; i < 200; i++) {
            establish(harness, "r" + i, 0, "g" + i);
        }
        fillServers(harness, List.of("s0", "s1"));
        harness.send(new AttemptEnded(
                "r0", 0, harness.latestAttempts.get("r0").serverId(), AttemptOutcome.OK, true, 1, null));
        assertThat(establish(harness, "lowPriority", 1, "x")).isNull();
        assertThat(rejections(harness).get(rejections(harness).size() - 1).reason())
                .isEqualTo(RejectionReason.RESERVED);
        assertThat(establish(harness, "highPriority", 0, "x")).isNotNull();
    }

    @Test
    void limitsRejectAtOnceWithTheirReason() {
        BalancerHarness relay = newHarness(new InstallationLimits(5, 0, 0, 0), 2);
        for (int i = 0; i < 8; i++) {
            establish(relay, "r" + i, 0, null);
        }
        assertThat(rejections(relay)).hasSize(3).allMatch(r -> r.reason() == RejectionReason.RELAY_LIMIT);
        BalancerHarness group = newHarness(new InstallationLimits(0, 0, 2, 0), 2);
        for (int i = 0; i < 8; i++) {
            establish(group, "r" + i, 0, i < 4 ? "one" : "g" + i);
        }
        assertThat(rejections(group)).hasSize(2).allMatch(r -> r.reason() == RejectionReason.GROUP_LIMIT);
        BalancerHarness server = newHarness(new InstallationLimits(0, 3, 0, 0), 2);
        for (int i = 0; i < 8; i++) {
            establish(server, "r" + i, 0, null);
        }
        assertThat(rejections(server)).hasSize(2).allMatch(r -> r.reason() == RejectionReason.SERVER_LIMIT);
        BalancerHarness rate = newHarness(new InstallationLimits(0, 0, 0, 10), 2);
        for (int i = 0; i < 50; i++) {
            establish(rate, "r" + i, 0, null);
        }
        assertThat(rejections(rate))
                .as("rejections of 50 requests in 50 ms, with 10 set-ups per second at each server")
                .hasSizeGreaterThan(45)
                .allMatch(r -> r.reason() == RejectionReason.SERVER_LIMIT);
    }

    @Test
    void invalidLoadsAreIgnored() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(2, 1);
        StartAttempt attempt = establish(harness, "r", 0, null);
        for (double load : new double[] {Double.NaN, -5, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 0}) {
            harness.send(new LoadReported("r", 0, attempt.serverId(), load));
        }
        harness.nowMicros += 2 * BalancerHarness.DEADLINE_MICROS;
        assertThat(establish(harness, "next", 0, null)).isNotNull();
    }

    @Test
    void restartedServerIsNotBoundByItsFormerCapacity() {
        BalancerHarness harness = newHarness(InstallationLimits.NONE, 1);
        for (int i = 0; i < 30; i++) {
            establish(harness, "r" + i, 0, null);
        }
        for (int i = 0; i < 30; i++) {
            harness.send(new AttemptEnded("r" + i, 0, "s0", AttemptOutcome.RESET, true, 1, null));
        }
        harness.restartServer("s0");
        harness.advance(10_000_000);
        for (int i = 0; i < 30; i++) {
            harness.advance(50_000);
            establish(harness, "n" + i, 0, null);
        }
        assertThat(rejections(harness)).noneMatch(r -> r.reason() == RejectionReason.FULL);
    }
}
