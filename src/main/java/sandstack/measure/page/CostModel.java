package sandstack.measure.page;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandstack.measure.scale.FittedModel;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;
import sandstack.measure.scale.Shape;

/**
 * How one cost of one role grows with size, its extrapolation to the planned size, and the mechanism that handles it. A
 * model is either fitted to the points of a run or derived by a formula.
 *
 * @param id id of the measured series
 * @param role part of the system that has the cost
 * @param resource resource that is used
 * @param title name of the cost on the page
 * @param unit unit of the values
 * @param per quantity that the sizes state, such as {@code relays}
 * @param origin source of the figure
 * @param shape growth with size; for a derived model, shown on the page but not used to compute the figure
 * @param coefficients base and slope of the shape; empty for a derived model
 * @param residual relative residual of the fit; null for a derived model
 * @param sizes sizes of the points of the run; empty for a derived model
 * @param values values of the points at these sizes
 * @param method how the values were obtained, in one sentence
 * @param command command of the run; null for a derived model
 * @param date date of the run; null for a derived model
 * @param commit commit that was measured; null for a derived model
 * @param arithmetic {@link Formula} of a derived model's figure; null for a fitted one
 * @param size planned size
 * @param figure cost at the planned size; null until evaluated
 * @param budget available amount of the resource; null if unlimited
 * @param utilization figure divided by budget; null without a budget
 * @param mechanism mechanism that handles the cost at the planned size; {@code missing}, which the page marks, if none
 *     does
 * @param scenarios cost in each scenario; scenarios without an entry are not considered
 */
@JsonPropertyOrder({
    "id",
    "role",
    "resource",
    "title",
    "unit",
    "per",
    "origin",
    "shape",
    "coefficients",
    "residual",
    "sizes",
    "values",
    "method",
    "command",
    "date",
    "commit",
    "arithmetic",
    "size",
    "figure",
    "budget",
    "needOverHave",
    "mechanism",
    "occasions"
})
public record CostModel(
        String id,
        Role role,
        Resource resource,
        String title,
        String unit,
        String per,
        Origin origin,
        Shape shape,
        List<Double> coefficients,
        Double residual,
        List<Double> sizes,
        List<Double> values,
        String method,
        String command,
        String date,
        String commit,
        String arithmetic,
        double size,
        Double figure,
        DerivedValue budget,
        @JsonProperty("needOverHave") Double utilization,
        String mechanism,
        @JsonProperty("occasions") Map<Scenario, DerivedValue> scenarios) {

    /** An extrapolation beyond this multiple of the largest measured size is marked on the page. */
    private static final double MAX_EXTRAPOLATION_FACTOR = 10;

    /** Replaces a null list or map, which results from a missing key in the file, by an empty one. */
    public CostModel {
        coefficients = coefficients == null ? List.of() : List.copyOf(coefficients);
        sizes = sizes == null ? List.of() : List.copyOf(sizes);
        values = values == null ? List.of() : List.copyOf(values);
        scenarios = scenarios == null ? Map.of() : new TreeMap<>(scenarios);
    }

    /** The largest of the figure and the costs in all scenarios, divided by the budget; zero without a budget. */
    double maxUtilization() {
        if (budget == null) {
            return 0;
        }
        double maxDemand = scenarios.values().stream()
                .mapToDouble(DerivedValue::value)
                .max()
                .orElse(figure);
        return Math.max(maxDemand, figure) / budget.value();
    }

    /** Whether the planned size is more than ten times the largest measured one. */
    boolean isExtrapolatedFar() {
        return size
                > MAX_EXTRAPOLATION_FACTOR
                        * sizes.stream().mapToDouble(Double::doubleValue).max().orElse(size);
    }

    /** The points of the run; empty for a derived model. */
    List<Point> points() {
        List<Point> points = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            points.add(new Point(sizes.get(i), values.get(i)));
        }
        return points;
    }

    /** Whether the figure is based on a measurement, rather than on a simulation or formula. */
    boolean isMeasured() {
        return origin == Origin.MEASURED;
    }

    /** A copy with another planned size; its figures are stale until evaluated by {@link CostModelEvaluator}. */
    CostModel withSize(double newSize) {
        return with(newSize, figure, budget, utilization, scenarios);
    }

    /** A copy with these figures and the resulting utilization. */
    CostModel withFigures(double newFigure, DerivedValue newBudget, Map<Scenario, DerivedValue> newScenarios) {
        Double newUtilization = newBudget == null ? null : newFigure / newBudget.value();
        return with(size, newFigure, newBudget, newUtilization, newScenarios);
    }

    private CostModel with(
            double newSize,
            Double newFigure,
            DerivedValue newBudget,
            Double newUtilization,
            Map<Scenario, DerivedValue> newScenarios) {
        return new CostModel(
                id,
                role,
                resource,
                title,
                unit,
                per,
                origin,
                shape,
                coefficients,
                residual,
                sizes,
                values,
                method,
                command,
                date,
                commit,
                arithmetic,
                newSize,
                newFigure,
                newBudget,
                newUtilization,
                mechanism,
                newScenarios);
    }

    /** A copy with the results of a run; its figures are stale until evaluated by {@link CostModelEvaluator}. */
    CostModel withMeasurement(Run run, Series series, FittedModel fit, double plannedSize) {
        return new CostModel(
                id,
                series.role(),
                series.resource(),
                title,
                series.unit(),
                series.per(),
                series.isModelled() ? Origin.MODELLED : Origin.MEASURED,
                fit.shape(),
                List.of(fit.base(), fit.slope()),
                fit.residual(),
                series.points().stream().map(Point::size).toList(),
                series.points().stream().map(Point::value).toList(),
                series.method(),
                run.command(),
                run.date(),
                run.commit(),
                null,
                plannedSize,
                null,
                budget,
                null,
                mechanism,
                scenarios);
    }

    /** The run of {@code measure scale} that the points are from. */
    record Run(String command, String date, String commit) {}
}
