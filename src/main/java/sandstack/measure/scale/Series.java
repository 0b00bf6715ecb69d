package sandstack.measure.scale;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A quantity measured at several sizes.
 *
 * @param id unique and stable, in lower case with dots and dashes, such as {@code relay.memory-per-connection}
 * @param role part of the system to which the cost is attributed
 * @param resource kind of cost
 * @param unit of the values, such as {@code bytes}
 * @param per quantity that the sizes state, such as {@code connections}
 * @param method how the values were obtained, in one sentence; begins with {@value #COMPUTED_PREFIX} or
 *     {@value #SIMULATED_PREFIX} for values of a model
 */
public record Series(
        String id, Role role, Resource resource, String unit, String per, String method, List<Point> points) {

    private static final String COMPUTED_PREFIX = "reckoned";

    private static final String SIMULATED_PREFIX = "simulated";

    /**
     * A value at a size.
     *
     * @param size in the quantity that {@link Series#per} names
     * @param value in the unit of the series
     */
    public record Point(double size, double value) {}

    /** Makes an unmodifiable copy of the points. */
    public Series {
        points = List.copyOf(points);
    }

    /** Converts samples to points, in the same order. */
    public static <T> List<Point> points(List<T> samples, ToDoubleFunction<T> size, ToDoubleFunction<T> value) {
        return samples.stream()
                .map(sample -> new Point(size.applyAsDouble(sample), value.applyAsDouble(sample)))
                .toList();
    }

    /** Whether the values are computed or simulated instead of measured. */
    @JsonIgnore
    public boolean isModelled() {
        return method.startsWith(COMPUTED_PREFIX) || method.startsWith(SIMULATED_PREFIX);
    }
}
