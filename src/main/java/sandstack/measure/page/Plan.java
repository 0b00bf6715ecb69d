package sandstack.measure.page;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/** The numbers to plan with. */
public record Plan(List<PlanNumber> numbers) {
    /** Keeps a copy of the list. */
    public Plan {
        numbers = List.copyOf(Objects.requireNonNull(numbers, "numbers: missing"));
    }

    /** The planned size of what a series counts, such as {@code relays}. */
    public OptionalDouble sizeOf(String per) {
        return numbers.stream()
                .filter(n -> n.sizeOf().contains(per))
                .mapToDouble(PlanNumber::value)
                .findFirst();
    }

    /**
     * The same plan with another size, and with what is derived from it.
     *
     * @param per what a series counts
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

    private static double derived(PlanNumber number, Plan before) throws InvalidConfigurationException {
        try {
            return Arithmetic.evaluate(number.arithmetic(), before::valueOf);
        } catch (Arithmetic.Malformed e) {
            throw new InvalidConfigurationException(
                    number.name() + ".arithmetic: " + number.arithmetic() + ": " + e.getMessage());
        }
    }

    /** The value of a number; null where there is none of that name. */
    Double valueOf(String name) {
        return numbers.stream()
                .filter(n -> n.name().equals(name))
                .map(PlanNumber::value)
                .findFirst()
                .orElse(null);
    }
}
