package sandstack.measure.page;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.Fit;

/** Whether slopes agree with the plan and with themselves, so that no figure can be changed alone. */
final class SlopeCheck {
    private static final double EXACT = 1e-6;
    private static final int COEFFICIENTS = 2;

    private final String file;
    private final Plan plan;

    private SlopeCheck(String file, Plan plan) {
        this.file = file;
        this.plan = plan;
    }

    /** Fails at the first slope that does not agree. */
    static void check(String file, Plan plan, Slopes slopes) throws InvalidConfigurationException {
        SlopeCheck check = new SlopeCheck(file, plan);
        Set<String> ids = new HashSet<>();
        for (Slope slope : slopes.slopes()) {
            check.fields(slope);
            if (!ids.add(slope.id())) {
                throw check.wrong(slope, "id", slope.id(), "stands twice");
            }
        }
        Slopes reckoned = Reckoning.of(file, plan, slopes);
        for (int i = 0; i < slopes.slopes().size(); i++) {
            check.figures(slopes.slopes().get(i), reckoned.slopes().get(i));
        }
    }

    private void fields(Slope slope) throws InvalidConfigurationException {
        present(slope, "id", slope.id());
        present(slope, "role", slope.role());
        present(slope, "resource", slope.resource());
        present(slope, "title", slope.title());
        present(slope, "unit", slope.unit());
        present(slope, "origin", slope.origin());
        present(slope, "shape", slope.shape());
        present(slope, "method", slope.method());
        present(slope, "mechanism", slope.mechanism());
        size(slope);
        if (slope.origin().hasRun()) {
            withRun(slope);
        } else {
            reckoned(slope);
        }
    }

    private void size(Slope slope) throws InvalidConfigurationException {
        OptionalDouble planned = plan.sizeOf(String.valueOf(slope.per()));
        if (planned.isEmpty()) {
            throw wrong(slope, "per", slope.per(), "the plan has no size of it");
        }
        if (planned.getAsDouble() != slope.size()) {
            throw wrong(slope, "size", slope.size(), "the plan says " + planned.getAsDouble());
        }
    }

    private void withRun(Slope slope) throws InvalidConfigurationException {
        present(slope, "command", slope.command());
        present(slope, "date", slope.date());
        present(slope, "commit", slope.commit());
        if (slope.sizes().size() != slope.values().size()) {
            throw wrong(slope, "values", slope.values(), "not as many as sizes");
        }
        Fit fit = Fit.best(slope.points())
                .orElseThrow(() -> wrong(slope, "sizes", slope.sizes(), "fewer than " + Fit.LEAST_SIZES));
        if (fit.shape() != slope.shape()) {
            throw wrong(slope, "shape", slope.shape(), "its points give " + fit.shape());
        }
        if (slope.coefficients().size() != COEFFICIENTS) {
            throw wrong(slope, "coefficients", slope.coefficients(), "must be base and slope");
        }
        same(slope, "coefficients[0]", slope.coefficients().get(0), fit.base());
        same(slope, "coefficients[1]", slope.coefficients().get(1), fit.slope());
        same(slope, "residual", slope.residual(), fit.residual());
    }

    private void reckoned(Slope slope) throws InvalidConfigurationException {
        present(slope, "arithmetic", slope.arithmetic());
        for (Map.Entry<String, Object> run : Map.<String, Object>of(
                        "sizes", slope.sizes(),
                        "values", slope.values(),
                        "coefficients", slope.coefficients())
                .entrySet()) {
            if (!((List<?>) run.getValue()).isEmpty()) {
                throw wrong(slope, run.getKey(), run.getValue(), "a reckoned slope has none");
            }
        }
        if (slope.command() != null || slope.date() != null || slope.commit() != null || slope.residual() != null) {
            throw wrong(slope, "command", slope.command(), "a reckoned slope has no run and no residual");
        }
    }

    private void figures(Slope slope, Slope reckoned) throws InvalidConfigurationException {
        same(slope, "figure", slope.figure(), reckoned.figure());
        if (slope.budget() != null) {
            same(
                    slope,
                    "budget.value",
                    slope.budget().value(),
                    reckoned.budget().value());
        }
        same(slope, "needOverHave", slope.needOverHave(), reckoned.needOverHave());
        for (Map.Entry<Occasion, Reckoned> need : slope.occasions().entrySet()) {
            double expected = reckoned.occasions().get(need.getKey()).value();
            same(slope, "occasions." + need.getKey() + ".value", need.getValue().value(), expected);
        }
    }

    private void same(Slope slope, String key, Double found, Double expected) throws InvalidConfigurationException {
        boolean alike = found == null || expected == null
                ? Objects.equals(found, expected)
                : Math.abs(found - expected) <= EXACT * Math.max(Math.abs(expected), EXACT);
        if (!alike) {
            throw wrong(slope, key, found, "the rest of the file gives " + expected);
        }
    }

    private void present(Slope slope, String key, Object value) throws InvalidConfigurationException {
        if (value == null || value.equals("")) {
            throw wrong(slope, key, value, "missing");
        }
    }

    private InvalidConfigurationException wrong(Slope slope, String key, Object value, String why) {
        return new InvalidConfigurationException(file + ": " + slope.id() + "." + key + ": " + value + ": " + why);
    }
}
