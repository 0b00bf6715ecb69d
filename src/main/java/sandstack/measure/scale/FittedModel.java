package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.DoubleStream;
import sandstack.measure.scale.Series.Point;

/**
 * A shape laid through measured points by least squares.
 *
 * <p>The residual is the root of the mean squared deviation over the mean magnitude of the values. To choose a shape, the
 * residuals of all are compared, none taken for less than {@link #NOISE_FLOOR}: a trend has to be significant against the
 * constant (F test at 5 in 100), and a trend that is one step more complex than another needs at most {@link #COMPLEXITY_FACTOR} times
 * its residual.
 *
 * @param base value at basis zero
 * @param slope of the shape's basis; zero for a constant
 * @param residual relative, zero for a fit that passes through every point
 */
public record FittedModel(Shape shape, double base, double slope, double residual) {
    /** Differences below this share of the values say nothing about a shape. */
    public static final double NOISE_FLOOR = 0.005;

    /** So many different sizes are needed to choose a shape. */
    public static final int MIN_DISTINCT_SIZES = 3;

    /** How much smaller a residual must be for a trend that is one step more complex. */
    private static final double COMPLEXITY_FACTOR = 0.75;

    /** The F distribution's 95th percentile with one degree of freedom over 1, 2, 3 and so on. */
    private static final double[] F_95TH_PERCENTILE = {161.4, 18.51, 10.13, 7.71, 6.61, 5.99, 5.59, 5.32, 5.12, 4.96};

    /** The shape that explains the points best for its complexity; empty with fewer than three sizes. */
    public static Optional<FittedModel> selectBest(List<Point> points) {
        if (points.stream().mapToDouble(Point::size).distinct().count() < MIN_DISTINCT_SIZES) {
            return Optional.empty();
        }
        FittedModel constant = leastSquares(Shape.CONSTANT, points);
        FittedModel trend = bestTrend(points);
        return Optional.of(isSignificant(trend, constant, points.size()) ? trend : constant);
    }

    private static FittedModel bestTrend(List<Point> points) {
        List<FittedModel> trends = new ArrayList<>();
        for (Shape shape : Shape.values()) {
            if (shape != Shape.CONSTANT) {
                trends.add(leastSquares(shape, points));
            }
        }
        return Collections.min(trends, Comparator.comparing(FittedModel::penalizedResidual));
    }

    /** The residual, made larger with each step of complexity. */
    private double penalizedResidual() {
        return residualWithNoise() / Math.pow(COMPLEXITY_FACTOR, shape.ordinal());
    }

    private static boolean isSignificant(FittedModel trend, FittedModel constant, int points) {
        int degreesOfFreedom = points - 2;
        double critical = F_95TH_PERCENTILE[Math.min(degreesOfFreedom, F_95TH_PERCENTILE.length) - 1];
        double unexplained = trend.residualWithNoise() * trend.residualWithNoise();
        double explained = constant.residualWithNoise() * constant.residualWithNoise() - unexplained;
        return explained * degreesOfFreedom > critical * unexplained;
    }

    private double residualWithNoise() {
        return Math.hypot(residual, NOISE_FLOOR);
    }

    /**
     * The best fit of one shape.
     *
     * @throws IllegalArgumentException without points, or where one is not finite
     */
    public static FittedModel leastSquares(Shape shape, List<Point> points) {
        if (points.isEmpty()) {
            throw new IllegalArgumentException("a fit needs points");
        }
        for (Point point : points) {
            if (!Double.isFinite(point.size()) || point.size() < 0 || !Double.isFinite(point.value())) {
                throw new IllegalArgumentException("not a finite value at a size of zero or more: " + point);
            }
        }
        double meanBasis = mean(points.stream().mapToDouble(p -> shape.basis(p.size())));
        double meanValue = mean(points.stream().mapToDouble(Point::value));
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            double offset = shape.basis(point.size()) - meanBasis;
            covariance += offset * (point.value() - meanValue);
            variance += offset * offset;
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        double base = meanValue - slope * meanBasis;
        FittedModel exact = new FittedModel(shape, base, slope, 0);
        return new FittedModel(shape, base, slope, exact.residualOver(points));
    }

    /** The relative residual of this curve over points. */
    private double residualOver(List<Point> points) {
        double magnitude = mean(points.stream().mapToDouble(p -> Math.abs(p.value())));
        if (magnitude == 0) {
            return 0;
        }
        double squared = mean(points.stream().mapToDouble(p -> Math.pow(p.value() - valueAt(p.size()), 2)));
        return Math.sqrt(squared) / magnitude;
    }

    private static double mean(DoubleStream values) {
        return values.average().orElseThrow();
    }

    /** The value at a size, also beyond those that were measured. */
    public double valueAt(double size) {
        return base + slope * shape.basis(size);
    }
}
