package sandstack.measure.page;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.FittedModel;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.ScaleReport.Result;
import sandstack.measure.scale.Series;

/**
 * The result of merging the series of a report into the cost models with the same ids.
 *
 * @param costModels all cost models; those with a fitted series in the report are updated, and their figures are stale
 *     until evaluated by {@link CostModelEvaluator}
 * @param ignoredSeries ids of series without a cost model, or with fewer distinct sizes than the
 *     {@link FittedModel#MIN_DISTINCT_SIZES} (three) that a fit needs
 */
record ReportMerge(CostModels costModels, List<String> ignoredSeries) {
    static ReportMerge merge(Plan plan, CostModels costModels, ScaleReport report)
            throws InvalidConfigurationException {
        Map<String, Series> seriesById = new LinkedHashMap<>();
        for (Result result : report.results()) {
            seriesById.put(result.series().id(), result.series());
        }
        CostModel.Run run = new CostModel.Run(report.command(), report.date(), report.commit());
        List<CostModel> merged = new ArrayList<>();
        for (CostModel costModel : costModels.models()) {
            Series measured = seriesById.get(costModel.id());
            Optional<FittedModel> fit = measured == null ? Optional.empty() : FittedModel.selectBest(measured.points());
            if (fit.isPresent()) {
                seriesById.remove(costModel.id());
                merged.add(costModel.withMeasurement(run, measured, fit.get(), plannedSize(plan, measured)));
            } else {
                merged.add(costModel);
            }
        }
        return new ReportMerge(new CostModels(merged), List.copyOf(seriesById.keySet()));
    }

    private static double plannedSize(Plan plan, Series series) throws InvalidConfigurationException {
        OptionalDouble size = plan.sizeOf(series.per());
        if (size.isEmpty()) {
            throw new InvalidConfigurationException(
                    series.id() + ".per: " + series.per() + ": the plan has no size for it");
        }
        return size.getAsDouble();
    }
}
