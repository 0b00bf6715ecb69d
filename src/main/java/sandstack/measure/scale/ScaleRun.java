package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.ScaleReport.Failure;
import sandstack.measure.scale.ScaleReport.Result;

/**
 * Runs measurements and fits models to their series. A failure of a measurement is recorded rather than thrown, so that
 * the remaining ones can run.
 */
public final class ScaleRun {
    private final Effort effort;
    private final Consumer<String> progress;
    private final List<Result> results = new ArrayList<>();
    private final List<Failure> failures = new ArrayList<>();
    private final Set<String> seriesIds = new HashSet<>();

    /**
     * Creates a run; {@link #measure} adds to it.
     *
     * @param progress receives a line before and after each measurement
     */
    public ScaleRun(Effort effort, Consumer<String> progress) {
        this.effort = effort;
        this.progress = progress;
    }

    /** Runs one measurement; adds its series to {@link #results}, or its failure to {@link #failures}. */
    public void measure(ScaleMeasurement measurement) throws InterruptedException {
        String name = measurement.name();
        progress.accept(name + " ...");
        long startNanos = System.nanoTime();
        try {
            List<Result> measured = new ArrayList<>();
            for (Series series : measurement.measure(effort)) {
                if (!seriesIds.add(series.id())) {
                    throw new IllegalStateException("duplicate series id " + series.id());
                }
                measured.add(new Result(
                        name, series, FittedModel.selectBest(series.points()).orElse(null)));
            }
            results.addAll(measured);
            progress.accept(String.format(Locale.ROOT, "%s took %.1f s", name, (System.nanoTime() - startNanos) / 1e9));
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            String cause = String.valueOf(e).lines().findFirst().orElse("");
            failures.add(new Failure(name, cause));
            progress.accept(name + " FAILED: " + cause);
        }
    }

    /** The results of successful measurements so far. */
    public List<Result> results() {
        return List.copyOf(results);
    }

    /** The failed measurements so far. */
    public List<Failure> failures() {
        return List.copyOf(failures);
    }
}
