package sandstack.measure.page;

/**
 * A value that is computed by a formula.
 *
 * @param arithmetic text of the {@link Formula}
 * @param value result of the formula, in the unit of its cost model; null until evaluated
 */
public record DerivedValue(String arithmetic, Double value) {
    DerivedValue withValue(double result) {
        return new DerivedValue(arithmetic, result);
    }
}
