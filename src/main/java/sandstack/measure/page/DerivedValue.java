package sandstack.measure.page;

/**
 * A value with its formula.
 *
 * @param arithmetic the {@link Formula}
 * @param value its result; null until evaluated
 */
public record DerivedValue(String arithmetic, Double value) {
    DerivedValue withValue(double result) {
        return new DerivedValue(arithmetic, result);
    }
}
