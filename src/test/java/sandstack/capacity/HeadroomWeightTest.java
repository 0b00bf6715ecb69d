package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/**
 * Tests that the weight decreases as a server fills up, and that it is 0 only if a known load reaches the closed
 * utilization or a delay reaches the objective.
 */
class HeadroomWeightTest {
    @Property
    void weightNeverRisesWithUtilization(
            @ForAll @DoubleRange(max = 2) double utilization, @ForAll @DoubleRange(max = 2) double increase) {
        assertThat(HeadroomWeight.byUtilization(utilization + increase, true))
                .isLessThanOrEqualTo(HeadroomWeight.byUtilization(utilization, true));
        assertThat(HeadroomWeight.byUtilization(utilization + increase, false))
                .isLessThanOrEqualTo(HeadroomWeight.byUtilization(utilization, false));
    }

    @Property
    void occupancyAndDefaultLoadsNeverCloseAServer(@ForAll @DoubleRange(max = 100) double utilization) {
        assertThat(HeadroomWeight.byUtilization(utilization, false)).isPositive();
        assertThat(HeadroomWeight.byOccupancy(utilization)).isPositive();
    }

    @Test
    void knownLoadsCloseAServerAtTheClosedUtilization() {
        assertThat(HeadroomWeight.byUtilization(HeadroomWeight.CLOSED_UTILIZATION, true))
                .isZero();
        assertThat(HeadroomWeight.byUtilization(Math.nextDown(HeadroomWeight.CLOSED_UTILIZATION), true))
                .isPositive();
    }

    @Test
    void aDelayIsInformativeAboveAThirdOfTheObjectiveAndClosesAtTheObjective() {
        assertThat(HeadroomWeight.isInformative(50, 150)).isFalse();
        assertThat(HeadroomWeight.isInformative(51, 150)).isTrue();
        assertThat(HeadroomWeight.byDelay(149, 150)).isEqualTo(0.3);
        assertThat(HeadroomWeight.byDelay(150, 150)).isZero();
    }
}
