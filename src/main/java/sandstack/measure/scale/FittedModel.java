package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.DoubleStream;
import sandstack.measure.scale.Series.Point;

/**
 * A model {@code base + slope * basis(size)} of one shape, fitted to measured points by least squares.
 *
 * <p>The residual is the root mean square deviation divided by the mean magnitude of the values. Model selection first
 * adds {@link #NOISE_FLOOR} to each residual as the root of the sum of squares. A trend is selected only if it is
 * significant against the constant (F-test at the 5% level). A trend that is one step more complex than another is
 * selected only if its residual is at most {@link #COMPLEXITY_FACTOR} times that of the other.
 *
 * @param base value at basis zero
 * @param slope of the shape's basis; zero for a constant
 * @param residual as a fraction of the mean magnitude; zero for a fit that passes through every point
 */
public record FittedModel(Shape shape, double base, double slope, double residual) {
    /** Assumed relative measurement noise. */
    public static final double NOISE_FLOOR = 0.005;

    /** Minimum number of distinct sizes for model selection. */
    public static final int MIN_DISTINCT_SIZES = 3;

    /** Maximum ratio of residuals at which one more step of complexity is justified. */
    private static final double COMPLEXITY_FACTOR = 0.75;

    /** 95th percentile of the F distribution with 1 and 1, 2, 3, ... degrees of freedom. */
    private static final double[] F_95TH_PERCENTILE = {161.4, 18.51, 10.13, 7.71, 6.61, 5.99, 5.59, 5.32, 5.12, 4.96};

    /**
     * Selects the trend with the lowest residual after the complexity penalty, or the constant if that trend is not
     * significant; empty with fewer than {@link #MIN_DISTINCT_SIZES} distinct sizes.
     */
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

    /** The residual with a penalty for each step of complexity. */
    private double penalizedResidual() {
        return residualWithNoise() / Math.pow(COMPLEXITY_FACTOR, shape.complexity());
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
     * Fits a model of one shape.
     *
     * @throws IllegalArgumentException if there are no points, a number is not finite or a size is negative
     */
    public static FittedModel leastSquares(Shape shape, List<Point> points) {
        if (points.isEmpty()) {
            throw new IllegalArgumentException("points are missing");
        }
        for (Point point : points) {
            if (!Double.isFinite(point.size()) || point.size() < 0 || !Double.isFinite(point.value())) {
                throw new IllegalArgumentException("not a finite value at a size of zero or more: " + point);
            }
        }
        double meanBasis = mean(points.stream().mapToDouble(p -> shape.basis(p.size())));
        double meanValue = mean(points.stream().mapToDouble(Point::value));
        double sumOfProducts = 0;
        double sumOfSquares = 0;
        for (Point point : points) {
            double offset = shape.basis(point.size()) - meanBasis;
            sumOfProducts += offset * (point.value() - meanValue);
            sumOfSquares += offset * offset;
        }
        double slope = sumOfSquares == 0 ? 0 : sumOfProducts / sumOfSquares;
        double base = meanValue - slope * meanBasis;
        FittedModel exact = new FittedModel(shape, base, slope, 0);
        return new FittedModel(shape, base, slope, exact.residualOver(points));
    }

    /** The relative residual of this model over points. */
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

    /** The value at a size; extrapolates beyond the measured ones. */
    public double valueAt(double size) {
        return base + slope * shape.basis(size);
    }
}
