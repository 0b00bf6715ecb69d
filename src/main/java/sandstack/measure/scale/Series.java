package sandstack.measure.scale;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * One quantity, measured at several sizes.
 *
 * @param id unique and stable, in lower case with dots and dashes, such as {@code relay.memory-per-connection}
 * @param unit of the values, such as {@code bytes}
 * @param per what the sizes count, such as {@code connections}
 * @param method how the values were got, in one sentence; begins with {@value #COMPUTED_PREFIX} or {@value #SIMULATED_PREFIX}
 *     where a model gave them
 */
public record Series(
        String id, Role role, Resource resource, String unit, String per, String method, List<Point> points) {

    private static final String COMPUTED_PREFIX = "reckoned";

    private static final String SIMULATED_PREFIX = "simulated";

    /**
     * A value at a size.
     *
     * @param size how many of what the series counts
     * @param value in the unit of the series
     */
    public record Point(double size, double value) {}

    /** Keeps a copy of the points. */
    public Series {
        points = List.copyOf(points);
    }

    /** Whether the values were worked out by a model, with nothing real measured. */
    @JsonIgnore
    public boolean isModelled() {
        return method.startsWith(COMPUTED_PREFIX) || method.startsWith(SIMULATED_PREFIX);
    }
}
