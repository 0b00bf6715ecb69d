package sandstack.measure.page;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/**
 * Validates planning numbers: names are unique, values are finite and above zero, each quantity has at most one planned
 * size, and derived values equal the results of their formulas, which may refer only to preceding numbers.
 */
final class PlanValidator {
    private static final double RELATIVE_TOLERANCE = 1e-9;

    private PlanValidator() {}

    static void validate(String file, Plan plan) throws InvalidConfigurationException {
        Map<String, Double> previous = new HashMap<>();
        Set<String> quantities = new HashSet<>();
        for (int i = 0; i < plan.numbers().size(); i++) {
            PlanNumber number = plan.numbers().get(i);
            String key = file + ": numbers[" + i + "]";
            requirePresent(key + ".name", number.name());
            requirePresent(key + ".unit", number.unit());
            requirePresent(key + ".meaning", number.meaning());
            requirePresent(key + ".source", number.source());
            if (!(number.value() > 0) || Double.isInfinite(number.value())) {
                throw new InvalidConfigurationException(
                        key + ".value: " + number.value() + ": must be finite and greater than 0");
            }
            for (String quantity : number.sizeOf()) {
                if (!quantities.add(quantity)) {
                    throw new InvalidConfigurationException(key + ".sizeOf: " + quantity + ": duplicate quantity");
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
                        key + ".arithmetic: " + number.arithmetic() + ": allowed only if the source is DERIVED");
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
