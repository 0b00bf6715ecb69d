package sandstack.measure.page;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.page.PlanNumber.Source;

/** Whether planning numbers can be used: named once, above zero, and derived ones as their arithmetic says. */
final class PlanCheck {
    private static final double EXACT = 1e-9;

    private PlanCheck() {}

    static void check(String file, Plan plan) throws InvalidConfigurationException {
        Map<String, Double> before = new HashMap<>();
        Set<String> sizes = new HashSet<>();
        for (int i = 0; i < plan.numbers().size(); i++) {
            PlanNumber number = plan.numbers().get(i);
            String key = file + ": numbers[" + i + "]";
            present(key + ".name", number.name());
            present(key + ".unit", number.unit());
            present(key + ".meaning", number.meaning());
            present(key + ".source", number.source());
            if (!(number.value() > 0) || Double.isInfinite(number.value())) {
                throw new InvalidConfigurationException(
                        key + ".value: " + number.value() + ": must be a number above 0");
            }
            for (String size : number.sizeOf()) {
                if (!sizes.add(size)) {
                    throw new InvalidConfigurationException(key + ".sizeOf: " + size + ": is another number's too");
                }
            }
            derived(key, number, before);
            if (before.put(number.name(), number.value()) != null) {
                throw new InvalidConfigurationException(key + ".name: " + number.name() + ": stands twice");
            }
        }
    }

    private static void derived(String key, PlanNumber number, Map<String, Double> before)
            throws InvalidConfigurationException {
        if (number.source() != Source.DERIVED) {
            if (number.arithmetic() != null) {
                throw new InvalidConfigurationException(
                        key + ".arithmetic: " + number.arithmetic() + ": only a DERIVED number has arithmetic");
            }
            return;
        }
        present(key + ".arithmetic", number.arithmetic());
        try {
            double value = Arithmetic.evaluate(number.arithmetic(), before::get);
            if (Math.abs(value - number.value()) > EXACT * Math.abs(value)) {
                throw new InvalidConfigurationException(
                        key + ".value: " + number.value() + ": its arithmetic comes to " + value);
            }
        } catch (Arithmetic.Malformed e) {
            throw new InvalidConfigurationException(
                    key + ".arithmetic: " + number.arithmetic() + ": " + e.getMessage());
        }
    }

    private static void present(String key, Object value) throws InvalidConfigurationException {
        if (value == null || value.equals("")) {
            throw new InvalidConfigurationException(key + ": missing");
        }
    }
}
