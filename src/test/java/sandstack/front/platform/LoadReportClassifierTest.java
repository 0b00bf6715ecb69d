package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which value of a feed server is a delay and which a load. */
class LoadReportClassifierTest {
    private static final long SECOND = 1_000_000;
    private final LoadReportClassifier classifier = new LoadReportClassifier(() -> true);

    @Test
    void smallValueIsADelay() {
        assertThat(classifier.isDelay("a", 273.241, 0)).isTrue();
        assertThat(classifier.isDelay("a", 60_533.68, 100_000)).isFalse();
        assertThat(classifier.isDelay("a", 33.347, SECOND)).isTrue();
    }

    @Test
    void ambiguousValueIsADelayOnlyAtTheReportingInterval() {
        assertThat(classifier.isDelay("a", 1_200, 0))
                .as("without a report before")
                .isFalse();
        assertThat(classifier.isDelay("a", 980, SECOND)).isTrue();
        assertThat(classifier.isDelay("a", 2_100, SECOND * 2 + 10_000))
                .as("at the interval")
                .isTrue();
        assertThat(classifier.isDelay("a", 2_500, SECOND * 2 + 400_000))
                .as("not at the interval")
                .isFalse();
        assertThat(classifier.isDelay("b", 2_500, SECOND * 3 + 10_000))
                .as("another server's interval")
                .isFalse();
        assertThat(classifier.isDelay("a", 3_000, SECOND * 3 + 10_000)).isTrue();
        assertThat(classifier.isDelay("a", 45_000, SECOND * 4 + 10_000))
                .as("a load at the interval")
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
