package sandstack.measure.scale;

import java.util.List;
import sandstack.measure.scale.ScaleMeasurement.Effort;

/**
 * What one run of {@code measure scale} found.
 *
 * @param command that was given
 * @param date of the run, as {@code 2026-12-02}
 * @param commit that was checked out, {@code unknown} outside a checkout
 * @param seconds that the whole run took
 */
public record ScaleReport(
        String command,
        String date,
        String commit,
        Effort effort,
        double seconds,
        List<Result> results,
        List<Failure> failures) {

    /** Keeps copies. */
    public ScaleReport {
        results = List.copyOf(results);
        failures = List.copyOf(failures);
    }

    /**
     * One series and what was made of it.
     *
     * @param measurement that yielded it
     * @param fit null where the series has fewer than three sizes
     */
    public record Result(String measurement, Series series, FittedModel fit) {}

    /**
     * A measurement that could not be made.
     *
     * @param cause in one line
     */
    public record Failure(String measurement, String cause) {}
}
