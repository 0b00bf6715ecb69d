package sandstack.measure.scale;

import java.util.List;

/** A measurement that yields one or more series. */
public interface ScaleMeasurement {
    /** How much time a measurement may take. */
    enum Effort {
        /** For the build: counts and shapes that come out alike every time, no wall-clock times. */
        SMALL,
        /** All measurements together take less than 45 s. */
        QUICK,
        /** All measurements together take less than ten minutes. */
        FULL
    }

    /** A short name for logs and for choosing this measurement alone. */
    String name();

    /**
     * Measures.
     *
     * @throws Exception where the measurement could not be made; nothing of it counts then
     */
    List<Series> measure(Effort effort) throws Exception;
}
