package sandstack.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulated comparison of capacity estimators meets its targets and is deterministic. */
class EstimatorMeasurementTest {
    private static List<MetricResult> run(long seed, List<String> progress) {
        return new EstimatorMeasurement()
                .run(new Measurement.Options(true, Path.of("x.jar"), null, seed), progress::add);
    }

    @Test
    void capacityEstimateMeetsItsTargetsAndRunsAreDeterministic() {
        List<String> progress = new ArrayList<>();
        List<MetricResult> results = run(1, progress);
        assertThat(results).as(String.join("\n", progress)).allMatch(MetricResult::met);
        List<String> progressOfSecondRun = new ArrayList<>();
        assertThat(run(1, progressOfSecondRun)).isEqualTo(results);
        assertThat(progressOfSecondRun).isEqualTo(progress);
        // a header, and a row for each of 7 capacity profiles and 5 algorithms
        assertThat(progress).hasSize(1 + 7 * 5);
    }
}
