package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** What a server's fullness leaves of its weight: less the fuller it is, and nothing only by evidence. */
class RoomWeightTest {
    @Property
    void weighsNoMoreTheMoreItIsUsed(
            @ForAll @DoubleRange(max = 2) double use, @ForAll @DoubleRange(max = 2) double more) {
        assertThat(RoomWeight.byUse(use + more, true)).isLessThanOrEqualTo(RoomWeight.byUse(use, true));
        assertThat(RoomWeight.byUse(use + more, false)).isLessThanOrEqualTo(RoomWeight.byUse(use, false));
    }

    @Property
    void aGuessNeverClosesAServer(@ForAll @DoubleRange(max = 100) double use) {
        assertThat(RoomWeight.byUse(use, false)).isPositive();
        assertThat(RoomWeight.byFullness(use)).isPositive();
    }

    @Test
    void knownLoadsCloseAServerAtTheStatedUse() {
        assertThat(RoomWeight.byUse(RoomWeight.USE_LATE, true)).isZero();
        assertThat(RoomWeight.byUse(Math.nextDown(RoomWeight.USE_LATE), true)).isPositive();
    }

    @Test
    void aDelayFromAThirdOfTheAimTellsAndAtTheAimCloses() {
        assertThat(RoomWeight.isTelling(50, 150)).isFalse();
        assertThat(RoomWeight.isTelling(51, 150)).isTrue();
        assertThat(RoomWeight.byDelay(149, 150)).isEqualTo(0.3);
        assertThat(RoomWeight.byDelay(150, 150)).isZero();
    }
}
