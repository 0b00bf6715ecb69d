package sandstack.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sandstack.measure.ConcurrencyLimiter.Algorithm;
import sandstack.measure.EstimatorSimulation.CapacityProfile;
import sandstack.measure.EstimatorSimulation.Outcome;

/**
 * {@code measure estimators}: compares algorithms that estimate a server's capacity on the same simulated runs. Reports
 * the utilization that each algorithm reaches and its rates of rejected and shed connections. Deterministic for a seed;
 * takes one to two seconds.
 */
final class EstimatorMeasurement implements Measurement {
    /** Simulated duration of a run, with {@code --quick} and without. */
    private static final long QUICK_MICROS = 80_000_000;

    private static final long FULL_MICROS = 200_000_000;
    /** Minimum ratio of the estimate's utilization to that of the oracle. */
    private static final double MIN_RELATIVE_UTILIZATION = 0.85;
    /** Lower, because the capacity of {@link CapacityProfile#ON_AND_OFF} changes faster than an estimate can follow. */
    private static final double MIN_RELATIVE_UTILIZATION_ON_AND_OFF = 0.6;

    private static final double MAX_REJECTED_PER_SECOND = 1.5;

    @Override
    public List<MetricResult> run(Options options, ProgressListener progress) {
        List<MetricResult> results = new ArrayList<>();
        progress.onProgress(
                String.format("%-14s %-9s %8s %15s %8s", "course", "way", "in use", "turned away/s", "shed/s"));
        for (CapacityProfile profile : CapacityProfile.values()) {
            Map<Algorithm, Outcome> outcomes = new EnumMap<>(Algorithm.class);
            for (Algorithm algorithm : Algorithm.values()) {
                Outcome outcome = simulate(profile, algorithm, options);
                outcomes.put(algorithm, outcome);
                progress.onProgress(row(profile, algorithm, outcome));
            }
            results.addAll(results(profile, outcomes.get(Algorithm.ORACLE), outcomes.get(Algorithm.CAPACITY_ESTIMATE)));
        }
        return results;
    }

    private static Outcome simulate(CapacityProfile profile, Algorithm algorithm, Options options) {
        long durationMicros = options.quick() ? QUICK_MICROS : FULL_MICROS;
        return new EstimatorSimulation(profile, algorithm.newLimiter(), options.seed()).run(durationMicros);
    }

    private static String row(CapacityProfile profile, Algorithm algorithm, Outcome outcome) {
        return String.format(
                Locale.ROOT,
                "%-14s %-9s %8.3f %15.2f %8.2f",
                profile,
                algorithm,
                outcome.utilization(),
                outcome.rejectedPerSecond(),
                outcome.shedPerSecond());
    }

    private static List<MetricResult> results(CapacityProfile profile, Outcome oracle, Outcome estimate) {
        double minRelativeUtilization =
                profile == CapacityProfile.ON_AND_OFF ? MIN_RELATIVE_UTILIZATION_ON_AND_OFF : MIN_RELATIVE_UTILIZATION;
        return List.of(
                MetricResult.atLeast(
                        profile + ": in use, of what can be",
                        estimate.utilization() / oracle.utilization(),
                        minRelativeUtilization),
                MetricResult.atMost(
                        profile + ": turned away a second", estimate.rejectedPerSecond(), MAX_REJECTED_PER_SECOND));
    }
}
