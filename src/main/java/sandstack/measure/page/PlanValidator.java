package sandstack.measure.page;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/**
 * Validates planning numbers: unique names, values above zero, derived values equal to the results of their formulas.
 */
final class PlanValidator {
    private static final double RELATIVE_TOLERANCE = 1e-9;

    private PlanValidator() {}

    static void validate(String file, Plan plan) throws InvalidConfigurationException {
        Map<String, Double> previous = new HashMap<>();
        Set<String> sizes = new HashSet<>();
        for (int i = 0; i < plan.numbers().size(); i++) {
            PlanNumber number = plan.numbers().get(i);
            String key = file + ": numbers[" + i + "]";
            requirePresent(key + ".name", number.name());
            requirePresent(key + ".unit", number.unit());
            requirePresent(key + ".meaning", number.meaning());
            requirePresent(key + ".source", number.source());
            if (!(number.value() > 0) || Double.isInfinite(number.value())) {
                throw new InvalidConfigurationException(
                        key + ".value: " + number.value() + ": must be a number above 0");
            }
            for (String size : number.sizeOf()) {
                if (!sizes.add(size)) {
                    throw new InvalidConfigurationException(
                            key + ".sizeOf: " + size + ": duplicate, another number has it");
                }
            }
            validateFormula(key, number, previous);
            if (previous.put(number.name(), number.value()) != null) {
                throw new InvalidConfigurationException(key + ".name: " + number.name() + ": duplicate");
            }
        }
    }

    private static void validateFormula(String key, PlanNumber number, Map<String, Double> previous)
            throws InvalidConfigurationException {
        if (number.source() != Source.DERIVED) {
            if (number.arithmetic() != null) {
                throw new InvalidConfigurationException(
                        key + ".arithmetic: " + number.arithmetic() + ": must be missing unless the source is DERIVED");
            }
            return;
        }
        requirePresent(key + ".arithmetic", number.arithmetic());
        try {
            double value = Formula.evaluate(number.arithmetic(), previous::get);
            if (Math.abs(value - number.value()) > RELATIVE_TOLERANCE * Math.abs(value)) {
                throw new InvalidConfigurationException(
                        key + ".value: " + number.value() + ": its formula yields " + value);
            }
        } catch (Formula.MalformedFormulaException e) {
            throw new InvalidConfigurationException(
                    key + ".arithmetic: " + number.arithmetic() + ": " + e.getMessage());
        }
    }

    private static void requirePresent(String key, Object value) throws InvalidConfigurationException {
        if (value == null || value.equals("")) {
            throw new InvalidConfigurationException(key + ": missing");
        }
    }
}
