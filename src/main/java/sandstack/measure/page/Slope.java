package sandstack.measure.page;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandstack.measure.scale.Fit;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;
import sandstack.measure.scale.Shape;

/**
 * How one cost of one role grows, what it comes to at the planned size, and what carries it.
 *
 * @param id as of the series that it was measured by
 * @param title what is counted, in words
 * @param per what the sizes count
 * @param coefficients base and slope of the shape
 * @param residual of the fit, relative; null for a reckoned slope
 * @param sizes that were measured; empty for a reckoned slope
 * @param values at these sizes
 * @param method how the values were got, in one sentence
 * @param command that gave them; null for a reckoned slope
 * @param date of the run; null for a reckoned slope
 * @param commit that ran; null for a reckoned slope
 * @param arithmetic that the figure of a reckoned slope follows from; null for a measured one
 * @param size that is planned
 * @param figure at that size; null before it was reckoned
 * @param budget what there is of it; null where nothing bounds it
 * @param needOverHave figure over budget; null where there is no budget
 * @param mechanism that carries the cost at the planned size, or {@code missing}
 * @param occasions what is needed at each; none of an occasion stands for not reckoned
 */
public record Slope(
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
        Reckoned budget,
        Double needOverHave,
        String mechanism,
        Map<Occasion, Reckoned> occasions) {

    private static final double FAR = 10;

    /** Keeps copies; lists and maps that are missing are empty. */
    public Slope {
        coefficients = coefficients == null ? List.of() : List.copyOf(coefficients);
        sizes = sizes == null ? List.of() : List.copyOf(sizes);
        values = values == null ? List.of() : List.copyOf(values);
        occasions = occasions == null ? Map.of() : new TreeMap<>(occasions);
    }

    /** The largest need of all occasions over the budget; zero where there is no budget. */
    double worstNeedOverHave() {
        if (budget == null) {
            return 0;
        }
        double most =
                occasions.values().stream().mapToDouble(Reckoned::value).max().orElse(figure);
        return Math.max(most, figure) / budget.value();
    }

    /** Whether the planned size is more than ten times the largest that was measured, so that the figure is a guess. */
    boolean isFarBeyondPoints() {
        return size
                > FAR * sizes.stream().mapToDouble(Double::doubleValue).max().orElse(size);
    }

    /** Sizes and values as points. */
    List<Point> points() {
        List<Point> points = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            points.add(new Point(sizes.get(i), values.get(i)));
        }
        return points;
    }

    /** Whether the figure rests on a run. */
    boolean isMeasured() {
        return origin == Origin.MEASURED;
    }

    Slope withSize(double other) {
        return new Slope(
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
                other,
                figure,
                budget,
                needOverHave,
                mechanism,
                occasions);
    }

    /** The same with the figures that follow from the rest. */
    Slope withFigures(double reckoned, Reckoned have, Map<Occasion, Reckoned> needs) {
        Double over = have == null ? null : reckoned / have.value();
        return new Slope(
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
                size,
                reckoned,
                have,
                over,
                mechanism,
                needs);
    }

    /** The same as a run found it; figures are to be reckoned anew. */
    Slope foundBy(Run run, Series series, Fit fit, double planned) {
        return new Slope(
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
                planned,
                null,
                budget,
                null,
                mechanism,
                occasions);
    }

    /** The run that gave the points. */
    record Run(String command, String date, String commit) {}
}
