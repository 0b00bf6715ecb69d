package sandstack.measure.scale;

import java.util.List;
import sandstack.measure.scale.ScaleMeasurement.Effort;

/**
 * Report of a run of {@code measure scale}, as written with {@code --json}.
 *
 * @param command command line without paths
 * @param date UTC date of the run, such as {@code 2026-12-02}
 * @param commit checked-out commit, {@code unknown} outside a checkout
 * @param seconds duration of the run
 */
public record ScaleReport(
        String command,
        String date,
        String commit,
        Effort effort,
        double seconds,
        List<Result> results,
        List<Failure> failures) {

    /** Makes unmodifiable copies of the lists. */
    public ScaleReport {
        results = List.copyOf(results);
        failures = List.copyOf(failures);
    }

    /**
     * A series and its fitted model.
     *
     * @param measurement name of the measurement
     * @param fit null for a series with fewer than three sizes
     */
    public record Result(String measurement, Series series, FittedModel fit) {}

    /**
     * A failed measurement.
     *
     * @param measurement name of the measurement
     * @param cause error message in one line
     */
    public record Failure(String measurement, String cause) {}
}
