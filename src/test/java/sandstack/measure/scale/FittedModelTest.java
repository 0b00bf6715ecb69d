package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Scale;
import org.junit.jupiter.api.Test;
import sandstack.measure.scale.Series.Point;

/** Model selection recognizes the shape of a series, and fits minimize the squared error. */
class FittedModelTest {
    /** Sizes of hollow fleets in measurements. */
    private static final double[] RELAYS = {50, 200, 800, 2_400, 5_600};

    private static final double NOISE = 0.002;

    private static List<Point> series(
            Shape shape, double base, double slope, double noise, long seed, double... sizes) {
        Random random = new Random(seed);
        List<Point> points = new ArrayList<>();
        for (double size : sizes) {
            double value = base + slope * shape.basis(size);
            points.add(new Point(size, value * (1 + noise * (2 * random.nextDouble() - 1))));
        }
        return points;
    }

    private static FittedModel selectBest(List<Point> points) {
        return FittedModel.selectBest(points).orElseThrow();
    }

    /** The base is at most half of the rise over all sizes, because the noise of a larger base hides the shape. */
    @Property
    void recognizesShapeOfGeneratedSeries(
            @ForAll Shape shape,
            @ForAll @DoubleRange(min = 0, max = 0.5) double baseToRise,
            @ForAll @Scale(6) @DoubleRange(min = 1e-6, max = 1e6) double rise,
            @ForAll long seed) {
        boolean constant = shape == Shape.CONSTANT;
        double slope = constant ? 0 : rise / shape.basis(RELAYS[RELAYS.length - 1]);
        List<Point> points = series(shape, constant ? rise : baseToRise * rise, slope, NOISE, seed, RELAYS);

        FittedModel fit = selectBest(points);

        assertThat(fit.shape()).isEqualTo(shape);
        assertThat(fit.residual()).isLessThan(2 * NOISE);
        double largest = RELAYS[RELAYS.length - 1];
        double expected = (constant ? rise : baseToRise * rise) + slope * shape.basis(largest);
        assertThat(fit.valueAt(largest)).isCloseTo(expected, within(expected * 2 * NOISE));
    }

    @Property
    void noiseIsNotATrend(
            @ForAll @Scale(3) @DoubleRange(min = 1e-3, max = 1e9) double value,
            @ForAll long seed,
            @ForAll @IntRange(min = 3, max = 9) int sizes) {
        double[] doublingSizes = new double[sizes];
        for (int i = 0; i < sizes; i++) {
            doublingSizes[i] = 50 << i;
        }

        assertThat(selectBest(series(Shape.CONSTANT, value, 0, FittedModel.NOISE_FLOOR, seed, doublingSizes))
                        .shape())
                .isEqualTo(Shape.CONSTANT);
    }

    @Property
    void fitsExactLinearSeriesExactly(
            @ForAll @DoubleRange(min = 0, max = 1e6) double base,
            @ForAll @DoubleRange(min = 1, max = 1e4) double slope,
            @ForAll @DoubleRange(min = 1, max = 1e8) double planned) {
        FittedModel fit = selectBest(series(Shape.LINEAR, base, slope, 0, 0, 1_000, 4_000, 9_000));
        FittedModel line =
                FittedModel.leastSquares(Shape.LINEAR, series(Shape.LINEAR, base, slope, 0, 0, 1_000, 4_000, 9_000));

        assertThat(line.slope()).isCloseTo(slope, within(slope * 1e-9));
        assertThat(line.base()).isCloseTo(base, within((base + slope * 9_000) * 1e-9));
        assertThat(line.residual()).isLessThan(1e-9);
        assertThat(line.valueAt(planned)).isCloseTo(base + slope * planned, within((base + slope * planned) * 1e-8));
        if (slope * 9_000 > base) {
            assertThat(fit).isEqualTo(line);
        }
    }

    @Property
    void leastSquaresFitHasMinimalError(
            @ForAll Shape shape,
            @ForAll long seed,
            @ForAll @DoubleRange(min = -0.1, max = 0.1) double baseChange,
            @ForAll @DoubleRange(min = -0.1, max = 0.1) double slopeChange) {
        List<Point> points = series(Shape.LINEAR, 10, 0.5, 0.2, seed, RELAYS);
        FittedModel fit = FittedModel.leastSquares(shape, points);
        FittedModel neighbour =
                new FittedModel(shape, fit.base() * (1 + baseChange), fit.slope() * (1 + slopeChange), 0);

        assertThat(squaredError(fit, points)).isLessThanOrEqualTo(squaredError(neighbour, points) * (1 + 1e-9));
    }

    private static double squaredError(FittedModel fit, List<Point> points) {
        return points.stream()
                .mapToDouble(p -> Math.pow(p.value() - fit.valueAt(p.size()), 2))
                .sum();
    }

    @Test
    void recognizesMeasuredResidentMemoryAsLinear() {
        FittedModel fit = selectBest(
                List.of(new Point(200, 63.3), new Point(1_000, 68.2), new Point(2_000, 72.1), new Point(4_000, 83.8)));

        assertThat(fit.shape()).isEqualTo(Shape.LINEAR);
        assertThat(fit.slope() * 1_000).isBetween(5.0, 5.6);
        assertThat(fit.residual()).isLessThan(0.01);
    }

    /** Values that grow faster than every shape fit the steepest one best. */
    @Test
    void fitsSquareToFasterGrowth() {
        FittedModel fit = selectBest(
                List.of(new Point(50, 5.08), new Point(100, 5.68), new Point(200, 22.2), new Point(400, 215.9)));

        assertThat(fit.shape()).isEqualTo(Shape.SQUARE);
        assertThat(fit.residual()).isBetween(0.1, 0.5);
    }

    /** Noise of 10% does not make a linear series look simpler. */
    @Test
    void recognizesNoisyTimesAsLinear() {
        FittedModel fit = selectBest(List.of(
                new Point(100, 1_185),
                new Point(500, 3_524),
                new Point(1_000, 5_676),
                new Point(2_500, 14_030),
                new Point(5_000, 19_150)));

        assertThat(fit.shape()).isEqualTo(Shape.LINEAR);
    }

    @Test
    void fitsZerosAsConstantWithoutResidual() {
        assertThat(selectBest(List.of(new Point(0, 0), new Point(10, 0), new Point(100, 0))))
                .isEqualTo(new FittedModel(Shape.CONSTANT, 0, 0, 0));
    }

    @Test
    void needsThreeDistinctSizes() {
        assertThat(FittedModel.selectBest(List.of(new Point(20, 1), new Point(20, 2), new Point(50, 3))))
                .isEmpty();
    }

    @Test
    void rejectsMissingAndNonFinitePoints() {
        assertThatThrownBy(() -> FittedModel.leastSquares(Shape.LINEAR, List.of(new Point(1, Double.NaN))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> FittedModel.leastSquares(Shape.LINEAR, List.of()))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
