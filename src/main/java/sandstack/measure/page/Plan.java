package sandstack.measure.page;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/** The capacity plan: all planning numbers, derived ones after those that they depend on. */
public record Plan(List<PlanNumber> numbers) {
    /** Copies the list. */
    public Plan {
        numbers = List.copyOf(Objects.requireNonNull(numbers, "numbers: missing"));
    }

    /** The planned size for series by this quantity, such as {@code relays}. */
    public OptionalDouble sizeOf(String per) {
        return numbers.stream()
                .filter(n -> n.sizeOf().contains(per))
                .mapToDouble(PlanNumber::value)
                .findFirst();
    }

    /**
     * A copy with another size and with all derived numbers evaluated anew.
     *
     * @param per quantity whose size changes
     */
    Plan withSize(String per, double size) throws InvalidConfigurationException {
        List<PlanNumber> changed = new ArrayList<>();
        for (PlanNumber number : numbers) {
            double value = number.value();
            if (number.sizeOf().contains(per)) {
                value = size;
            } else if (number.source() == Source.DERIVED) {
                value = derived(number, new Plan(changed));
            }
            changed.add(number.withValue(value));
        }
        return new Plan(changed);
    }

    private static double derived(PlanNumber number, Plan previous) throws InvalidConfigurationException {
        try {
            return Formula.evaluate(number.arithmetic(), previous::valueOf);
        } catch (Formula.MalformedFormulaException e) {
            throw new InvalidConfigurationException(
                    number.name() + ".arithmetic: " + number.arithmetic() + ": " + e.getMessage());
        }
    }

    /** The value of the number with this name; null if there is none. */
    Double valueOf(String name) {
        return numbers.stream()
                .filter(n -> n.name().equals(name))
                .map(PlanNumber::value)
                .findFirst()
                .orElse(null);
    }
}
