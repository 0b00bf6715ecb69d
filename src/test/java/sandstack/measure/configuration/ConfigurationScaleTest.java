package sandstack.measure.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;

/** Checks the measurement with the small effort: its series are deterministic and within budgets at each fleet size. */
class ConfigurationScaleTest {
    private static final double MAX_RELAY_BYTES_PER_SECOND = 4_096;
    private static final double MAX_ACTIVATION_SECONDS = 16;

    private static final List<Series> SERIES = new ConfigurationScale().measure(Effort.SMALL);

    @Test
    void seriesAreDeterministicAndWithinBudgets() {
        assertThat(new ConfigurationScale().measure(Effort.SMALL)).isEqualTo(SERIES);
        assertThat(SERIES).extracting(Series::id).doesNotHaveDuplicates();
        assertThat(SERIES).allMatch(s -> s.points().size() == 3);
        for (Series s : SERIES) {
            for (Point point : s.points()) {
                switch (s.id().split("\\.", 0)[1]) {
                    case "latency" -> assertThat(point.value()).as(s.id()).isBetween(0.0, MAX_ACTIVATION_SECONDS);
                    case "relay" -> assertThat(point.value()).as(s.id()).isBetween(0.1, MAX_RELAY_BYTES_PER_SECOND);
                    default -> assertThat(point.value()).as(s.id()).isNotNegative();
                }
            }
        }
    }

    /** Guards against per-relay costs that grow with the number of relays. */
    @Test
    void costOfRelayDoesNotGrowWithFleet() {
        for (Series s : SERIES) {
            if (s.id().startsWith("configuration.relay.")) {
                double first = s.points().get(0).value();
                assertThat(s.points()).as(s.id()).allMatch(point -> point.value() < 1.5 * first);
            }
        }
    }
}
