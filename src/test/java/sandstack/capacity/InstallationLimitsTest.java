package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

/**
 * Tests the limits of an installation, reserved capacity, tenant quotas, load shedding and the count of overloaded
 * servers.
 */
class InstallationLimitsTest {
    @Test
    void connectionsAreLimitedByRelayAndByGroup() {
        RelayConnectionLimiter limiter = new RelayConnectionLimiter(new InstallationLimits(3, 0, 2, 0));
        assertThat(limiter.reachedLimit("a")).isNull();
        limiter.onArrived("a");
        limiter.onArrived("a");
        assertThat(limiter.reachedLimit("a")).isEqualTo(RejectionReason.GROUP_LIMIT);
        assertThat(limiter.reachedLimit("b")).isNull();
        assertThat(limiter.reachedLimit(null)).isNull();
        limiter.onArrived(null);
        assertThat(limiter.reachedLimit("b")).isEqualTo(RejectionReason.RELAY_LIMIT);
        limiter.onFinished("a");
        assertThat(limiter.reachedLimit("a")).isNull();
    }

    @Test
    void withoutLimitsNothingIsRejected() {
        RelayConnectionLimiter limiter = new RelayConnectionLimiter(InstallationLimits.NONE);
        for (int i = 0; i < 100_000; i++) {
            limiter.onArrived("a");
        }
        assertThat(limiter.reachedLimit("a")).isNull();
    }

    @Test
    void aRateLimiterAdmitsSetupsAtItsRate() {
        SetupRateLimiter limiter = new SetupRateLimiter(50, 0);
        int admitted = 0;
        for (long nowMicros = 0; nowMicros < 10_000_000; nowMicros += 1_000) {
            if (limiter.hasToken(nowMicros)) {
                limiter.takeToken();
                admitted++;
            }
        }
        assertThat(admitted).isBetween(500, 506);
        SetupRateLimiter unlimited = new SetupRateLimiter(0, 0);
        for (int i = 0; i < 1_000; i++) {
            unlimited.takeToken();
        }
        assertThat(unlimited.hasToken(0)).isTrue();
    }

    @Test
    void theMessageForAValueOutOfRangeNamesItsKey() {
        assertThatThrownBy(() -> new InstallationLimits(-1, 0, 0, 0)).hasMessageContaining("relay");
        assertThatThrownBy(() -> new InstallationLimits(0, 0, 0, Double.NaN)).hasMessageContaining("setups");
        assertThatThrownBy(() -> new StatedCapacity(0, Double.POSITIVE_INFINITY, false, 0, 0))
                .hasMessageContaining("connections");
    }

    @Test
    void theLeastDenseClassIsShedFirst() {
        double[] shedFractions =
                SheddingPlan.shedLeastDenseFirst(0.4, new double[] {50, 25, 25}, new double[] {5, 1, 3});
        assertThat(shedFractions).containsExactly(new double[] {0, 1, 0.6}, Offset.offset(1e-9));
        assertThat(SheddingPlan.shedLeastDenseFirst(0.3, new double[2], new double[] {5, 1}))
                .containsExactly(0.3, 0.3);
    }

    @Test
    void reservedCapacityIsNotAvailableToTheLowestPriority() {
        CandidateSummary candidates = new CandidateSummary(new double[] {5, 1, 5});
        CapacityModel model = new CapacityModel(StatedCapacities.NONE, 1000, 1);
        assertThat(candidates.admits(1))
                .as("summary without servers admits the lowest priority")
                .isTrue();
        CapacityEstimate server = model.newEstimate();
        candidates.reset();
        candidates.add(server, false, 0);
        assertThat(candidates.admits(1))
                .as("server without a learned limit admits the lowest priority")
                .isTrue();
        for (int i = 0; i < 100; i++) {
            server.onEstablished(1, 0, 0.5);
        }
        server.onRejected(0, 0.5);
        server.onClosed(1);
        server.onClosed(1);
        candidates.reset();
        candidates.add(server, false, 0);
        assertThat(candidates.admits(1))
                .as("2 of 100 connections are free, less than the reserve of 3%")
                .isFalse();
        assertThat(candidates.admits(0)).isTrue();
        for (int i = 0; i < 5; i++) {
            server.onClosed(1);
        }
        candidates.reset();
        candidates.add(server, false, 0);
        assertThat(candidates.admits(1)).isTrue();
    }

    @Test
    void aTenantWithinItsQuotaHasNoExcess() {
        double[] excess = SheddingPlan.excessOverQuota(new double[] {90, 10, 0}, new double[] {60, 60, 0}, 2);
        assertThat(excess[0]).isGreaterThan(0.2);
        assertThat(excess[1]).isZero();
        assertThat(excess[2]).isZero();
    }

    @Test
    void aLocallyFullHomeZoneIsNotOverloadedWhileOtherZonesHaveHeadroom() {
        OverloadCount homeZone = new OverloadCount();
        homeZone.add(true, true, true);
        homeZone.add(true, true, true);
        homeZone.add(false, false, true);
        OverloadCount idleZone = new OverloadCount();
        idleZone.add(false, false, false);
        assertThat(OverloadCount.isFleetOverloaded(homeZone, idleZone)).isFalse();
        OverloadCount overloadedZone = new OverloadCount();
        overloadedZone.add(true, false, true);
        assertThat(OverloadCount.isFleetOverloaded(homeZone, overloadedZone)).isTrue();
        assertThat(homeZone.smoothedOverloadedFraction(0, 2)).isCloseTo(1 / 3.0, Offset.offset(1e-9));
    }
}
