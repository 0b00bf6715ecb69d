package sandstack.measure.page;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.Fit;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.ScaleReport.Result;
import sandstack.measure.scale.Series;

/**
 * Puts what a run measured into the slopes of the same ids.
 *
 * @param slopes with the measured ones replaced; figures are to be reckoned anew
 * @param passedOver series that no slope stands for, or that have fewer than three sizes
 */
record TakenReport(Slopes slopes, List<String> passedOver) {
    static TakenReport of(Plan plan, Slopes slopes, ScaleReport report) throws InvalidConfigurationException {
        Map<String, Series> series = new LinkedHashMap<>();
        for (Result result : report.results()) {
            series.put(result.series().id(), result.series());
        }
        Slope.Run run = new Slope.Run(report.command(), report.date(), report.commit());
        List<Slope> taken = new ArrayList<>();
        for (Slope slope : slopes.slopes()) {
            Series found = series.get(slope.id());
            Optional<Fit> fit = found == null ? Optional.empty() : Fit.best(found.points());
            if (fit.isPresent()) {
                series.remove(slope.id());
                taken.add(slope.foundBy(run, found, fit.get(), planned(plan, found)));
            } else {
                taken.add(slope);
            }
        }
        return new TakenReport(new Slopes(taken), List.copyOf(series.keySet()));
    }

    private static double planned(Plan plan, Series series) throws InvalidConfigurationException {
        OptionalDouble size = plan.sizeOf(series.per());
        if (size.isEmpty()) {
            throw new InvalidConfigurationException(
                    series.id() + ".per: " + series.per() + ": the plan has no size of it");
        }
        return size.getAsDouble();
    }
}
