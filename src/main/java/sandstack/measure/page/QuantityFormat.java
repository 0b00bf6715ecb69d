package sandstack.measure.page;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Formats quantities for reports, with three significant digits and SI prefixes for bytes and seconds. */
public final class QuantityFormat {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double PREFIX_FACTOR = 1000;
    private static final List<String> BYTES = List.of("B", "KB", "MB", "GB", "TB", "PB");
    private static final List<String> SECONDS = List.of("ns", "us", "ms", "s");

    /** First words of the units that are scaled, with the position of each among its prefixed units. */
    private static final Map<String, Scale> SCALES = Map.of(
            "bytes", new Scale(BYTES, 0),
            "megabytes", new Scale(BYTES, 2),
            "us", new Scale(SECONDS, 1),
            "microseconds", new Scale(SECONDS, 1),
            "ms", new Scale(SECONDS, 2),
            "milliseconds", new Scale(SECONDS, 2),
            "s", new Scale(SECONDS, 3),
            "seconds", new Scale(SECONDS, 3));

    private static final Pattern FIRST_WORD = Pattern.compile("^[a-z]+");

    /** Units of one dimension, each 1000 times the previous one, and the index of one of them. */
    private record Scale(List<String> units, int index) {}

    private QuantityFormat() {}

    /**
     * Formats a value with its unit, such as {@code 470 MB a second} for {@code 4.7e8} and {@code bytes a second}.
     * Scales units whose first word is a unit of bytes or seconds; appends other units unchanged.
     */
    public static String format(double value, String unit) {
        Matcher unitMatcher = FIRST_WORD.matcher(unit);
        Scale scale = unitMatcher.find() ? SCALES.get(unitMatcher.group()) : null;
        return scale == null
                ? formatNumber(value) + " " + unit
                : scaled(value, scale) + unit.substring(unitMatcher.end());
    }

    private static String scaled(double value, Scale scale) {
        int index = scale.index;
        double scaled = value;
        while (Math.abs(scaled) >= PREFIX_FACTOR && index < scale.units.size() - 1) {
            scaled /= PREFIX_FACTOR;
            index++;
        }
        while (scaled != 0 && Math.abs(scaled) < 1 && index > 0) {
            scaled *= PREFIX_FACTOR;
            index--;
        }
        return formatNumber(scaled) + " " + scale.units.get(index);
    }

    /**
     * Formats a number with three significant digits, in millions or billions from a million on; smaller whole numbers
     * in full.
     */
    public static String formatNumber(double value) {
        double size = Math.abs(value);
        if (size >= 1e9) {
            return roundToSignificant(value / 1e9) + " billion";
        }
        if (size >= 1e6) {
            return roundToSignificant(value / 1e6) + " million";
        }
        return value == Math.rint(value) ? String.format(Locale.ROOT, "%,d", (long) value) : roundToSignificant(value);
    }

    private static String roundToSignificant(double value) {
        int integerDigits = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        if (integerDigits < -SIGNIFICANT_DIGITS) {
            return String.format(Locale.ROOT, "%.2e", value);
        }
        String text = String.format(Locale.ROOT, "%,." + Math.max(0, SIGNIFICANT_DIGITS - integerDigits) + "f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
