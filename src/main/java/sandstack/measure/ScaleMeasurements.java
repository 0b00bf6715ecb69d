package sandstack.measure;

import java.util.List;
import sandstack.measure.scale.ScaleMeasurement;

/** All measurements that {@code measure scale} runs, in this order; a new one is added here. */
final class ScaleMeasurements {
    private ScaleMeasurements() {}

    /** One of each; cheap to make, as nothing starts before it measures. */
    static List<ScaleMeasurement> all() {
        return List.of();
    }
}
