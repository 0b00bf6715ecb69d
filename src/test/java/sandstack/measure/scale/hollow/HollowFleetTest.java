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
    private static final int SECONDS = 20;

    private static HollowFleet watched(int size) {
        HollowFleet fleet = new HollowFleet(size, 0, 1);
        fleet.formFullMembership();
        fleet.advance(2_000_000);
        fleet.traffic().clear();
        fleet.advance(SECONDS * 1_000_000L);
        return fleet;
    }

    private static double each(HollowFleet fleet, MessageKind kind, int size) {
        return fleet.traffic().messages(kind) / (double) SECONDS / size;
    }

    @Test
    void aViewGoesThroughAReportOfEachMemberAboutEachOther() {
        for (int size : new int[] {8, 16, 32, 64}) {
            assertThat(watched(size).maxReportsInView()).as("at %d", size).isEqualTo((long) size * (size - 1));
        }
    }

    @Test
    void probesGrowWithTheMembersUpToTwentyASecondAndStayThere() {
        assertThat(each(watched(8), MessageKind.PROBE, 8)).isBetween(6.9, 7.1);
        assertThat(each(watched(16), MessageKind.PROBE, 16)).isBetween(14.8, 15.2);
        assertThat(each(watched(32), MessageKind.PROBE, 32)).isBetween(18.5, 20.5);
        assertThat(each(watched(64), MessageKind.PROBE, 64)).isBetween(18.5, 20.5);
    }

    @Test
    void nothingIsSpreadWhileNothingHappens() {
        HollowFleet fleet = watched(16);
        assertThat(fleet.traffic().messages(MessageKind.STATE_GOSSIP)).isZero();
        assertThat(fleet.traffic().messages(MessageKind.RECORD_GOSSIP)).isZero();
        assertThat(each(fleet, MessageKind.PING, 16)).isBetween(1.9, 2.1);
        assertThat(fleet.traffic().messages(MessageKind.PING_ACK))
                .isEqualTo(fleet.traffic().messages(MessageKind.PING));
        // one each two seconds, except those whose random target is the sender itself
        assertThat(each(fleet, MessageKind.SYNC, 16)).isBetween(0.4, 0.5);
    }

    @Test
    void gossipReachesAllAndIsSentThreeTimesAPeriodForThreeLogarithmsOfPeriods() {
        int size = 64;
        SimulatedClock clock = new SimulatedClock(0);
        Network network = new Network();
        Traffic traffic = new Traffic();
        List<HollowRelay> relays = new ArrayList<>();
        GossipModel gossip = new GossipModel(clock, network, traffic, relays);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < size; i++) {
            relays.add(new HollowRelay(i, new FleetLayout(size), size, 0, random));
            network.add();
        }
        List<Integer> heard = new ArrayList<>();
        gossip.spread(5, MessageKind.STATE_GOSSIP, 100, heard::add);
        clock.advance(10 * GossipModel.PERIOD_MICROS);
        assertThat(heard)
                .containsExactlyInAnyOrderElementsOf(
                        IntStream.range(0, size).filter(i -> i != 5).boxed().collect(Collectors.toList()));
        int most = 3 * 3 * 7 * size;
        assertThat(traffic.messages()).isBetween(most / 2L, (long) most);
        assertThat(traffic.bytes()).isEqualTo(100 * traffic.messages());
    }

    @Test
    void allFaultsAreKnownAndAGivenUpMemberIsKnownLaterThanADoubtedOne() {
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
    void aFleetInWhichOneReachesMoreThanAThousandOthersIsRefused() {
        assertThatThrownBy(() -> MembershipCost.measure(1_002))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("1000");
    }

    @Test
    void theSmallMeasurementComesOutAlikeAndBytesGrowFasterThanMessages() {
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
