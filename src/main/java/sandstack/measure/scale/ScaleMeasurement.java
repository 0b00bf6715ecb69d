package sandstack.measure.scale;

import java.util.List;

/** A measurement of costs at several sizes. */
public interface ScaleMeasurement {
    /** The time that measurements may take. */
    enum Effort {
        /** For tests: deterministic results only, such as counts and simulated times. */
        SMALL,
        /** Less than 45 s for all measurements together. */
        QUICK,
        /** Less than ten minutes for all measurements together. */
        FULL
    }

    /** Unique short name, for {@code --only} and progress messages. */
    String name();

    /**
     * Measures and returns the series; empty if there is nothing to measure with this effort.
     *
     * @throws Exception if the measurement failed; it has no partial result
     */
    List<Series> measure(Effort effort) throws Exception;
}
