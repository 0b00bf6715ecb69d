package sandstack.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import sandstack.measure.page.Plan;
import sandstack.measure.page.QuantityFormat;
import sandstack.measure.scale.FittedModel;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.ScaleReport.Failure;
import sandstack.measure.scale.ScaleReport.Result;
import sandstack.measure.scale.Series;

/**
 * Formats a report as a table for a terminal: a row for each series with its fitted shape, the residual of the fit, the
 * extrapolation to the planned size and the measured points, followed by the failed measurements and a summary.
 */
final class ScaleTable {
    private static final String ROW_FORMAT = "%-44s %-12s %9s %18s  %s";

    private ScaleTable() {}

    static List<String> lines(ScaleReport report, Plan plan) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(ROW_FORMAT, "series", "shape", "residual", "at planned size", "measured")
                .stripTrailing());
        for (Result result : report.results()) {
            lines.add(row(result, plan));
        }
        for (Failure failure : report.failures()) {
            lines.add("FAILED " + failure.measurement() + ": " + failure.cause());
        }
        lines.add(String.format(
                Locale.ROOT,
                "%d series, %d measurements failed, %.1f s",
                report.results().size(),
                report.failures().size(),
                report.seconds()));
        return lines;
    }

    private static String row(Result result, Plan plan) {
        Series series = result.series();
        FittedModel fit = result.fit();
        OptionalDouble plannedSize = plan.sizeOf(series.per());
        String shape = fit == null ? "not fitted" : fit.shape().name();
        String residual = fit == null ? "-" : String.format(Locale.ROOT, "%.2f%%", fit.residual() * 100);
        String extrapolated = fit == null || plannedSize.isEmpty()
                ? "-"
                : QuantityFormat.format(fit.valueAt(plannedSize.getAsDouble()), series.unit());
        return String.format(ROW_FORMAT, series.id(), shape, residual, extrapolated, points(series));
    }

    private static String points(Series series) {
        List<String> points = new ArrayList<>();
        for (Series.Point point : series.points()) {
            points.add(QuantityFormat.formatNumber(point.size()) + ": "
                    + QuantityFormat.format(point.value(), series.unit()));
        }
        return String.join(", ", points) + " by " + series.per();
    }
}
