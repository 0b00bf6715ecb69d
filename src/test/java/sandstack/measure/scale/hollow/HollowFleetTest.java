package sandstack.measure.scale.hollow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;
import sandstack.measure.scale.SimulatedClock;

/** Deterministic counts and growth shapes of hollow fleets. */
class HollowFleetTest {
    private static final int OBSERVED_SECONDS = 20;

    private static HollowFleet runSteadyFleet(int size) {
        HollowFleet fleet = new HollowFleet(size, 0, 1);
        fleet.formFullMembership();
        fleet.advance(2_000_000);
        fleet.traffic().clear();
        fleet.advance(OBSERVED_SECONDS * 1_000_000L);
        return fleet;
    }

    private static double messagesPerMemberSecond(HollowFleet fleet, MessageKind kind, int size) {
        return fleet.traffic().messages(kind) / (double) OBSERVED_SECONDS / size;
    }

    @Test
    void viewHasReportOfEachMemberAboutEachOther() {
        for (int size : new int[] {8, 16, 32, 64}) {
            assertThat(runSteadyFleet(size).maxReportsInView())
                    .as("reports with %d members", size)
                    .isEqualTo((long) size * (size - 1));
        }
    }

    @Test
    void probeRateGrowsWithMembersUpToTwentyPerSecond() {
        assertThat(messagesPerMemberSecond(runSteadyFleet(8), MessageKind.PROBE, 8))
                .isBetween(6.9, 7.1);
        assertThat(messagesPerMemberSecond(runSteadyFleet(16), MessageKind.PROBE, 16))
                .isBetween(14.8, 15.2);
        assertThat(messagesPerMemberSecond(runSteadyFleet(32), MessageKind.PROBE, 32))
                .isBetween(18.5, 20.5);
        assertThat(messagesPerMemberSecond(runSteadyFleet(64), MessageKind.PROBE, 64))
                .isBetween(18.5, 20.5);
    }

    @Test
    void steadyFleetSendsNoGossip() {
        HollowFleet fleet = runSteadyFleet(16);
        assertThat(fleet.traffic().messages(MessageKind.STATE_GOSSIP)).isZero();
        assertThat(fleet.traffic().messages(MessageKind.RECORD_GOSSIP)).isZero();
        assertThat(messagesPerMemberSecond(fleet, MessageKind.PING, 16)).isBetween(1.9, 2.1);
        assertThat(fleet.traffic().messages(MessageKind.PING_ACK))
                .isEqualTo(fleet.traffic().messages(MessageKind.PING));
        // a member syncs every two seconds, unless the random target is the member itself
        assertThat(messagesPerMemberSecond(fleet, MessageKind.SYNC, 16)).isBetween(0.4, 0.5);
    }

    @Test
    void gossipReachesAllMembersWithBoundedMessages() {
        int size = 64;
        SimulatedClock clock = new SimulatedClock(0);
        HollowNetwork network = new HollowNetwork();
        FleetTraffic traffic = new FleetTraffic();
        List<HollowRelay> relays = new ArrayList<>();
        GossipModel gossip = new GossipModel(clock, network, traffic, relays);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < size; i++) {
            relays.add(new HollowRelay(i, new FleetLayout(size), size, 0, random));
            network.add();
        }
        List<Integer> receivers = new ArrayList<>();
        gossip.spread(5, MessageKind.STATE_GOSSIP, 100, receivers::add);
        clock.advance(10 * GossipModel.PERIOD_MICROS);
        assertThat(receivers)
                .containsExactlyInAnyOrderElementsOf(
                        IntStream.range(0, size).filter(i -> i != 5).boxed().collect(Collectors.toList()));
        // each member sends to three others per period, for three times seven periods: 64 has seven binary digits
        int maxMessages = 3 * 3 * 7 * size;
        assertThat(traffic.messages()).isBetween(maxMessages / 2L, (long) maxMessages);
        assertThat(traffic.bytes()).isEqualTo(100 * traffic.messages());
    }

    @Test
    void allFaultsAreDetectedAndLossLaterThanSuspicion() {
        FaultInjection faults = new FaultInjection(16, 600);
        for (FaultInjection.Outcome outcome : List.of(
                faults.join(), faults.kill(), faults.killUntilLost(), faults.loseZone(), faults.healPartition())) {
            assertThat(outcome.isComplete()).as(outcome.toString()).isTrue();
            assertThat(outcome.seconds()).as(outcome.toString()).isBetween(0.1, 30.0);
            assertThat(outcome.bytes()).as(outcome.toString()).isPositive();
        }
        // the suspicion timeout is three ping intervals times the logarithm of the members
        assertThat(faults.killUntilLost().seconds()).isGreaterThan(3 * 0.5 * 5);
        assertThat(faults.kill().seconds()).isLessThan(3 * 0.5 * 5);
    }

    @Test
    void rejectsMoreThanThousandReachedMembers() {
        assertThatThrownBy(() -> MembershipCost.measure(1_002))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("1000");
    }

    @Test
    void smallMeasurementIsDeterministicAndBytesGrowFasterThanMessages() {
        List<Series> first = new HollowFleetScale().measure(Effort.SMALL);
        assertThat(new HollowFleetScale().measure(Effort.SMALL)).isEqualTo(first);
        assertThat(first).extracting(Series::id).doesNotHaveDuplicates();
        assertThat(first).allSatisfy(series -> assertThat(series.points()).isNotEmpty());
        assertThat(growth(first, "hollow.bytes")).isGreaterThan(1.1 * growth(first, "hollow.messages"));
        assertThat(growth(first, "hollow.reports-in-view")).isBetween(15.0, 17.0);
    }

    /** The last value divided by the first. */
    private static double growth(List<Series> all, String id) {
        List<Point> points = all.stream()
                .filter(series -> series.id().equals(id))
                .findFirst()
                .orElseThrow()
                .points();
        return points.get(points.size() - 1).value() / points.get(0).value();
    }
}
