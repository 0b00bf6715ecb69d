package sandstack.measure;

import java.nio.file.Path;
import java.util.List;

/** A measurement that {@code measure NAME} runs. */
interface Measurement {
    /**
     * Options of a run.
     *
     * @param quick whether the run is shortened to 40 s at most
     * @param jar the build that relays are started from
     * @param baselineJar another build to compare with; null for none
     * @param seed seed of all random draws
     */
    record Options(boolean quick, Path jar, Path baselineJar, long seed) {}

    /** Runs the measurement on the calling thread and returns the metrics in the order in which they are printed. */
    List<MetricResult> run(Options options, ProgressListener progress) throws Exception;

    /** Receives progress messages during a run; called on the thread of the run. */
    interface ProgressListener {
        /** Reports one line of text, without a line break. */
        void onProgress(String message);
    }
}
