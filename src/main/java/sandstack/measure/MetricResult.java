package sandstack.measure;

import java.util.Locale;

/**
 * The measured value of a metric and its target.
 *
 * @param name name of the metric, with its unit
 * @param value measured value in that unit
 * @param target condition such as {@code >= 0.99}; empty for a metric without a target
 * @param met whether the value meets the target; true for a metric without a target
 */
public record MetricResult(String name, double value, String target, boolean met) {
    /** A metric whose target is a minimum. */
    static MetricResult atLeast(String name, double value, double minimum) {
        return new MetricResult(name, value, ">= " + format(minimum), value >= minimum);
    }

    /** A metric whose target is a maximum. */
    static MetricResult atMost(String name, double value, double maximum) {
        return new MetricResult(name, value, "<= " + format(maximum), value <= maximum);
    }

    /** A metric that is reported without a target. */
    static MetricResult informational(String name, double value) {
        return new MetricResult(name, value, "", true);
    }

    /** Formats whole numbers below 1e12 without decimals, others with four. */
    static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4f", value);
    }
}
