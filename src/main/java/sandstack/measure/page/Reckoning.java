package sandstack.measure.page;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.Fit;

/**
 * Works out every figure of the slopes that follows from the rest: the planned size, the figure there, the budget, need over
 * have and the needs at each occasion. Arithmetic may name planning numbers, {@code base}, {@code slope} and
 * {@code figure} of its own slope, and in brackets the figure of a slope before it.
 */
final class Reckoning {
    private final String file;
    private final Plan plan;
    private final Map<String, Double> figures = new HashMap<>();

    private Reckoning(String file, Plan plan) {
        this.file = file;
        this.plan = plan;
    }

    /** The same slopes with all figures worked out. */
    static Slopes of(String file, Plan plan, Slopes slopes) throws InvalidConfigurationException {
        Reckoning reckoning = new Reckoning(file, plan);
        List<Slope> reckoned = new ArrayList<>();
        for (Slope slope : slopes.slopes()) {
            reckoned.add(reckoning.reckon(slope));
        }
        return new Slopes(reckoned);
    }

    private Slope reckon(Slope before) throws InvalidConfigurationException {
        Slope slope = before.withSize(plan.sizeOf(before.per()).orElse(before.size()));
        String key = file + ": " + slope.id();
        Map<String, Double> own = new HashMap<>();
        double figure = slope.origin().hasRun() ? extrapolated(key, slope, own) : value(key, slope.arithmetic(), own);
        own.put("figure", figure);
        figures.put("[" + slope.id() + "]", figure);
        Reckoned budget = slope.budget();
        if (budget != null) {
            budget = budget.withValue(value(key + ".budget", budget.arithmetic(), own));
            if (!(budget.value() > 0)) {
                throw new InvalidConfigurationException(key + ".budget: " + budget.value() + ": must be above 0");
            }
        }
        Map<Occasion, Reckoned> needs = new EnumMap<>(Occasion.class);
        for (Map.Entry<Occasion, Reckoned> need : slope.occasions().entrySet()) {
            String arithmetic = need.getValue().arithmetic();
            needs.put(
                    need.getKey(),
                    need.getValue().withValue(value(key + ".occasions." + need.getKey(), arithmetic, own)));
        }
        return slope.withFigures(figure, budget, needs);
    }

    private static double extrapolated(String key, Slope slope, Map<String, Double> own)
            throws InvalidConfigurationException {
        if (slope.coefficients().size() != 2 || slope.shape() == null) {
            throw new InvalidConfigurationException(
                    key + ".coefficients: " + slope.coefficients() + ": must be base and slope of a shape");
        }
        own.put("base", slope.coefficients().get(0));
        own.put("slope", slope.coefficients().get(1));
        return new Fit(slope.shape(), own.get("base"), own.get("slope"), 0).at(slope.size());
    }

    private double value(String key, String arithmetic, Map<String, Double> own) throws InvalidConfigurationException {
        if (arithmetic == null) {
            throw new InvalidConfigurationException(key + ".arithmetic: missing");
        }
        try {
            return Arithmetic.evaluate(arithmetic, name -> {
                Double value = own.containsKey(name) ? own.get(name) : figures.get(name);
                return value == null ? plan.valueOf(name) : value;
            });
        } catch (Arithmetic.Malformed e) {
            throw new InvalidConfigurationException(key + ".arithmetic: " + arithmetic + ": " + e.getMessage());
        }
    }
}
