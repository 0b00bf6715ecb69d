package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** What a server's fullness leaves of its weight: less the fuller it is, and nothing only by evidence. */
class HeadroomWeightTest {
    @Property
    void weighsNoMoreTheMoreItIsUsed(
            @ForAll @DoubleRange(max = 2) double use, @ForAll @DoubleRange(max = 2) double more) {
        assertThat(HeadroomWeight.byUtilization(use + more, true))
                .isLessThanOrEqualTo(HeadroomWeight.byUtilization(use, true));
        assertThat(HeadroomWeight.byUtilization(use + more, false))
                .isLessThanOrEqualTo(HeadroomWeight.byUtilization(use, false));
    }

    @Property
    void aGuessNeverClosesAServer(@ForAll @DoubleRange(max = 100) double use) {
        assertThat(HeadroomWeight.byUtilization(use, false)).isPositive();
        assertThat(HeadroomWeight.byOccupancy(use)).isPositive();
    }

    @Test
    void knownLoadsCloseAServerAtTheStatedUse() {
        assertThat(HeadroomWeight.byUtilization(HeadroomWeight.CLOSED_UTILIZATION, true))
                .isZero();
        assertThat(HeadroomWeight.byUtilization(Math.nextDown(HeadroomWeight.CLOSED_UTILIZATION), true))
                .isPositive();
    }

    @Test
    void aDelayFromAThirdOfTheAimTellsAndAtTheAimCloses() {
        assertThat(HeadroomWeight.isInformative(50, 150)).isFalse();
        assertThat(HeadroomWeight.isInformative(51, 150)).isTrue();
        assertThat(HeadroomWeight.byDelay(149, 150)).isEqualTo(0.3);
        assertThat(HeadroomWeight.byDelay(150, 150)).isZero();
    }
}
