package sandstack.measure;

import java.util.Locale;

/**
 * One figure of a measurement and what it should be.
 *
 * @param value as measured, in the unit that the name says
 * @param aim in words, such as {@code >= 0.99}; empty for a figure that is only told
 */
public record Aim(String name, double value, String aim, boolean held) {
    static Aim atLeast(String name, double value, double least) {
        return new Aim(name, value, ">= " + plain(least), value >= least);
    }

    static Aim atMost(String name, double value, double most) {
        return new Aim(name, value, "<= " + plain(most), value <= most);
    }

    static Aim told(String name, double value) {
        return new Aim(name, value, "", true);
    }

    /** A number without needless digits. */
    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e12
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4f", value);
    }
}
