package sandstack.measure.page;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Values as people read them: three digits, and a prefix where the unit has one. */
public final class Quantity {
    private static final int DIGITS = 3;
    private static final double STEP = 1000;
    private static final List<String> BYTES = List.of("B", "KB", "MB", "GB", "TB", "PB");
    private static final List<String> SECONDS = List.of("ns", "us", "ms", "s");

    /** Units that are scaled, and which of the prefixed ones each is. */
    private static final Map<String, Scale> SCALED = Map.of(
            "bytes", new Scale(BYTES, 0),
            "megabytes", new Scale(BYTES, 2),
            "us", new Scale(SECONDS, 1),
            "microseconds", new Scale(SECONDS, 1),
            "ms", new Scale(SECONDS, 2),
            "milliseconds", new Scale(SECONDS, 2),
            "s", new Scale(SECONDS, 3),
            "seconds", new Scale(SECONDS, 3));

    private static final Pattern FIRST_WORD = Pattern.compile("^[a-z]+");

    /** Prefixed units, and which of them a unit is. */
    private record Scale(List<String> units, int at) {}

    private Quantity() {}

    /**
     * A value with its unit, such as {@code 470 MB a second} of {@code 4.7e8} and {@code bytes a second}: a first word of
     * bytes or seconds is scaled, other units stand behind the number as they are.
     */
    public static String text(double value, String unit) {
        Matcher first = FIRST_WORD.matcher(unit);
        Scale scale = first.find() ? SCALED.get(first.group()) : null;
        return scale == null ? plain(value) + " " + unit : scaled(value, scale) + unit.substring(first.end());
    }

    private static String scaled(double value, Scale scale) {
        int at = scale.at;
        double scaled = value;
        while (Math.abs(scaled) >= STEP && at < scale.units.size() - 1) {
            scaled /= STEP;
            at++;
        }
        while (scaled != 0 && Math.abs(scaled) < 1 && at > 0) {
            scaled *= STEP;
            at--;
        }
        return plain(scaled) + " " + scale.units.get(at);
    }

    /** A number with three digits that count; whole numbers in full up to a million, with words beyond. */
    public static String plain(double value) {
        double size = Math.abs(value);
        if (size >= 1e9) {
            return digits(value / 1e9) + " billion";
        }
        if (size >= 1e6) {
            return digits(value / 1e6) + " million";
        }
        return value == Math.rint(value) ? String.format(Locale.ROOT, "%,d", (long) value) : digits(value);
    }

    private static String digits(double value) {
        int before = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        if (before < -DIGITS) {
            return String.format(Locale.ROOT, "%.2e", value);
        }
        String text = String.format(Locale.ROOT, "%,." + Math.max(0, DIGITS - before) + "f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
