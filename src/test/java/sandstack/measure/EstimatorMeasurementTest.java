package sandstack.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulated comparison of estimators meets its targets and is deterministic. */
class EstimatorMeasurementTest {
    private static List<MetricResult> run(long seed, List<String> said) {
        return new EstimatorMeasurement().run(new Measurement.Options(true, Path.of("x.jar"), null, seed), said::add);
    }

    @Test
    void oursKeepsItsAimsAndTheFiguresRepeat() {
        List<String> said = new ArrayList<>();
        List<MetricResult> aims = run(1, said);
        assertThat(aims).as(String.join("\n", said)).allMatch(MetricResult::met);
        List<String> again = new ArrayList<>();
        assertThat(run(1, again)).isEqualTo(aims);
        assertThat(again).isEqualTo(said);
        assertThat(said).hasSize(1 + 7 * 5);
    }
}
