package sandstack.measure.page;

/**
 * A value with the way that it was reckoned.
 *
 * @param arithmetic as {@link Arithmetic} reads it
 * @param value that it comes to; null before it was reckoned
 */
public record Reckoned(String arithmetic, Double value) {
    Reckoned withValue(double reckoned) {
        return new Reckoned(arithmetic, reckoned);
    }
}
