package sandstack.measure.page;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/**
 * The capacity plan.
 *
 * @param numbers all planning numbers; a derived number follows those that it depends on
 */
public record Plan(List<PlanNumber> numbers) {
    /** Rejects a null list, which results from a missing key in the file. */
    public Plan {
        numbers = List.copyOf(Objects.requireNonNull(numbers, "numbers: missing"));
    }

    /** The planned size of a quantity that series grow with, such as {@code relays}; empty if there is none. */
    public OptionalDouble sizeOf(String per) {
        return numbers.stream()
                .filter(n -> n.sizeOf().contains(per))
                .mapToDouble(PlanNumber::value)
                .findFirst();
    }

    /**
     * A copy with another planned size, in which all derived numbers are evaluated again.
     *
     * @param per quantity whose planned size changes
     * @throws InvalidConfigurationException if a formula cannot be evaluated
     */
    Plan withSize(String per, double size) throws InvalidConfigurationException {
        List<PlanNumber> changed = new ArrayList<>();
        for (PlanNumber number : numbers) {
            double value = number.value();
            if (number.sizeOf().contains(per)) {
                value = size;
            } else if (number.source() == Source.DERIVED) {
                value = evaluateDerived(number, new Plan(changed));
            }
            changed.add(number.withValue(value));
        }
        return new Plan(changed);
    }

    private static double evaluateDerived(PlanNumber number, Plan previous) throws InvalidConfigurationException {
        try {
            return Formula.evaluate(number.arithmetic(), previous::valueOf);
        } catch (Formula.MalformedFormulaException e) {
            throw new InvalidConfigurationException(
                    number.name() + ".arithmetic: " + number.arithmetic() + ": " + e.getMessage());
        }
    }

    /** The value of the planning number with this name; null if there is none. */
    Double valueOf(String name) {
        return numbers.stream()
                .filter(n -> n.name().equals(name))
                .map(PlanNumber::value)
                .findFirst()
                .orElse(null);
    }
}
