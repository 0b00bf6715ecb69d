package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Values of {@code LOAD} lines are classified as a load or a message delay. */
class LoadReportClassifierTest {
    private static final long SECOND_MICROS = 1_000_000;
    private final LoadReportClassifier classifier = new LoadReportClassifier(() -> true);

    @Test
    void smallValueIsADelay() {
        assertThat(classifier.isDelay("a", 273.241, 0)).isTrue();
        assertThat(classifier.isDelay("a", 60_533.68, 100_000)).isFalse();
        assertThat(classifier.isDelay("a", 33.347, SECOND_MICROS)).isTrue();
    }

    @Test
    void ambiguousValueIsADelayOnlyAtTheReportingInterval() {
        assertThat(classifier.isDelay("a", 1_200, 0))
                .as("1200 without an earlier delay report is a load")
                .isFalse();
        assertThat(classifier.isDelay("a", 980, SECOND_MICROS)).isTrue();
        assertThat(classifier.isDelay("a", 2_100, SECOND_MICROS * 2 + 10_000))
                .as("2100 one interval after a delay is a delay")
                .isTrue();
        assertThat(classifier.isDelay("a", 2_500, SECOND_MICROS * 2 + 400_000))
                .as("2500 between two reporting times is a load")
                .isFalse();
        assertThat(classifier.isDelay("b", 2_500, SECOND_MICROS * 3 + 10_000))
                .as("2500 one interval after a delay of another server is a load")
                .isFalse();
        assertThat(classifier.isDelay("a", 3_000, SECOND_MICROS * 3 + 10_000)).isTrue();
        assertThat(classifier.isDelay("a", 45_000, SECOND_MICROS * 4 + 10_000))
                .as("45000 is a load, even one interval after a delay")
                .isFalse();
    }

    @Test
    void withoutDelayReportsAllAreLoadsAndInvalidValuesAreNeverDelays() {
        assertThat(new LoadReportClassifier(() -> false).isDelay("a", 273, 0)).isFalse();
        assertThat(classifier.isDelay("a", Double.NaN, 0)).isFalse();
        assertThat(classifier.isDelay("a", -5, 0)).isFalse();
        assertThat(classifier.isDelay("a", Double.POSITIVE_INFINITY, 0)).isFalse();
    }
}
