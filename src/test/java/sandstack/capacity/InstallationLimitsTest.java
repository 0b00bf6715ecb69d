package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

/** Limits of an installation, and who gives up what. */
class InstallationLimitsTest {
    @Test
    void countsByRelayAndByGroup() {
        ConnectionLimiter counted = new ConnectionLimiter(new InstallationLimits(3, 0, 2, 0));
        assertThat(counted.reachedLimit("a")).isNull();
        counted.onArrived("a");
        counted.onArrived("a");
        assertThat(counted.reachedLimit("a")).isEqualTo(RejectionReason.GROUP_LIMIT);
        assertThat(counted.reachedLimit("b")).isNull();
        assertThat(counted.reachedLimit(null)).isNull();
        counted.onArrived(null);
        assertThat(counted.reachedLimit("b")).isEqualTo(RejectionReason.RELAY_LIMIT);
        counted.onFinished("a");
        assertThat(counted.reachedLimit("a")).isNull();
    }

    @Test
    void withoutLimitsNothingIsCountedAgainstAnybody() {
        ConnectionLimiter counted = new ConnectionLimiter(InstallationLimits.NONE);
        for (int i = 0; i < 100_000; i++) {
            counted.onArrived("a");
        }
        assertThat(counted.reachedLimit("a")).isNull();
    }

    @Test
    void aGateLetsItsRateThrough() {
        SetupRateLimiter gate = new SetupRateLimiter(50, 0);
        int through = 0;
        for (long now = 0; now < 10_000_000; now += 1_000) {
            if (gate.hasToken(now)) {
                gate.takeToken();
                through++;
            }
        }
        assertThat(through).isBetween(500, 506);
        SetupRateLimiter none = new SetupRateLimiter(0, 0);
        for (int i = 0; i < 1_000; i++) {
            none.takeToken();
        }
        assertThat(none.hasToken(0)).isTrue();
    }

    @Test
    void nonsenseIsRefusedByName() {
        assertThatThrownBy(() -> new InstallationLimits(-1, 0, 0, 0)).hasMessageContaining("relay");
        assertThatThrownBy(() -> new InstallationLimits(0, 0, 0, Double.NaN)).hasMessageContaining("setups");
        assertThatThrownBy(() -> new StatedCapacity(0, Double.POSITIVE_INFINITY, false, 0, 0))
                .hasMessageContaining("connections");
    }

    @Test
    void theClassOfLeastWorthForItsLoadGivesFirst() {
        double[] given = SheddingPlan.shedLeastDenseFirst(0.4, new double[] {50, 25, 25}, new double[] {5, 1, 3});
        assertThat(given).containsExactly(new double[] {0, 1, 0.6}, Offset.offset(1e-9));
        assertThat(SheddingPlan.shedLeastDenseFirst(0.3, new double[2], new double[] {5, 1}))
                .containsExactly(0.3, 0.3);
    }

    @Test
    void whatIsKeptFreeIsClosedToTheClassOfLeastWorthOnly() {
        CandidateSummary reserve = new CandidateSummary(new double[] {5, 1, 5});
        CapacityModel capacity = new CapacityModel(StatedCapacities.NONE, 1000, 1);
        assertThat(reserve.admits(1)).as("before anything is known").isTrue();
        CapacityEstimate server = capacity.newEstimate();
        reserve.reset();
        reserve.add(server, false, 0);
        assertThat(reserve.admits(1)).as("where nothing speaks against more").isTrue();
        for (int i = 0; i < 100; i++) {
            server.onEstablished(1, 0, 0.5);
        }
        server.onRejected(0, 0.5);
        server.onClosed(1);
        server.onClosed(1);
        reserve.reset();
        reserve.add(server, false, 0);
        assertThat(reserve.admits(1)).as("two of a hundred are free").isFalse();
        assertThat(reserve.admits(0)).isTrue();
        for (int i = 0; i < 5; i++) {
            server.onClosed(1);
        }
        reserve.reset();
        reserve.add(server, false, 0);
        assertThat(reserve.admits(1)).isTrue();
    }

    @Test
    void aTenantWithinItsShareHasNoExcess() {
        double[] excess = SheddingPlan.excessOverQuota(new double[] {90, 10, 0}, new double[] {60, 60, 0}, 2);
        assertThat(excess[0]).isGreaterThan(0.2);
        assertThat(excess[1]).isZero();
        assertThat(excess[2]).isZero();
    }

    @Test
    void oneLateZoneIsAJamUnlessOnlyFullFromHereWithRoomElsewhere() {
        OverloadCount home = new OverloadCount();
        home.add(true, true, true);
        home.add(true, true, true);
        home.add(false, false, true);
        OverloadCount idle = new OverloadCount();
        idle.add(false, false, false);
        assertThat(OverloadCount.isFleetOverloaded(home, idle)).isFalse();
        OverloadCount late = new OverloadCount();
        late.add(true, false, true);
        assertThat(OverloadCount.isFleetOverloaded(home, late)).isTrue();
        assertThat(home.smoothedOverloadedFraction(0, 2)).isCloseTo(1 / 3.0, Offset.offset(1e-9));
    }
}
