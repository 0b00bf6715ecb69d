package sandstack.measure;

import java.nio.file.Path;
import java.util.List;

/** A measurement of {@code measure NAME}. */
interface Measurement {
    /**
     * Options of a run.
     *
     * @param quick whether the run has to end within 40 s
     * @param jar the build that relays are started from
     * @param baselineJar another build to compare with; null for none
     * @param seed of all random draws
     */
    record Options(boolean quick, Path jar, Path baselineJar, long seed) {}

    /** Measures and returns the metrics in the order in which they are printed. */
    List<MetricResult> run(Options options, ProgressListener progress) throws Exception;

    /** Receives progress messages during a run. */
    interface ProgressListener {
        /** Called with one line of text, on the measuring thread. */
        void onProgress(String message);
    }
}
