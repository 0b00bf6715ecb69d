package sandstack.measure.page;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.FittedModel;

/** Validates that cost models agree with the plan, and that their stored figures equal the evaluated ones. */
final class CostModelValidator {
    private static final double RELATIVE_TOLERANCE = 1e-6;
    private static final int COEFFICIENTS = 2;

    private final String file;
    private final Plan plan;

    private CostModelValidator(String file, Plan plan) {
        this.file = file;
        this.plan = plan;
    }

    /**
     * Validates all cost models.
     *
     * @param file name of the file, for error messages
     * @throws InvalidConfigurationException for the first inconsistency
     */
    static void validate(String file, Plan plan, CostModels costModels) throws InvalidConfigurationException {
        CostModelValidator validator = new CostModelValidator(file, plan);
        Set<String> ids = new HashSet<>();
        for (CostModel costModel : costModels.models()) {
            validator.validateFields(costModel);
            if (!ids.add(costModel.id())) {
                throw validator.invalid(costModel, "id", costModel.id(), "duplicate");
            }
        }
        CostModels expected = CostModelEvaluator.evaluateAll(file, plan, costModels);
        for (int i = 0; i < costModels.models().size(); i++) {
            validator.validateFigures(
                    costModels.models().get(i), expected.models().get(i));
        }
    }

    private void validateFields(CostModel costModel) throws InvalidConfigurationException {
        requirePresent(costModel, "id", costModel.id());
        requirePresent(costModel, "role", costModel.role());
        requirePresent(costModel, "resource", costModel.resource());
        requirePresent(costModel, "title", costModel.title());
        requirePresent(costModel, "unit", costModel.unit());
        requirePresent(costModel, "origin", costModel.origin());
        requirePresent(costModel, "shape", costModel.shape());
        requirePresent(costModel, "method", costModel.method());
        requirePresent(costModel, "mechanism", costModel.mechanism());
        validateSize(costModel);
        if (costModel.origin().hasRun()) {
            validateFit(costModel);
        } else {
            validateDerived(costModel);
        }
    }

    private void validateSize(CostModel costModel) throws InvalidConfigurationException {
        OptionalDouble planned = plan.sizeOf(String.valueOf(costModel.per()));
        if (planned.isEmpty()) {
            throw invalid(costModel, "per", costModel.per(), "the plan has no size for it");
        }
        if (planned.getAsDouble() != costModel.size()) {
            throw invalid(costModel, "size", costModel.size(), "the plan has " + planned.getAsDouble());
        }
    }

    private void validateFit(CostModel costModel) throws InvalidConfigurationException {
        requirePresent(costModel, "command", costModel.command());
        requirePresent(costModel, "date", costModel.date());
        requirePresent(costModel, "commit", costModel.commit());
        if (costModel.sizes().size() != costModel.values().size()) {
            throw invalid(costModel, "values", costModel.values(), "must have one value for each size");
        }
        FittedModel fit = FittedModel.selectBest(costModel.points())
                .orElseThrow(() -> invalid(
                        costModel,
                        "sizes",
                        costModel.sizes(),
                        "must have at least " + FittedModel.MIN_DISTINCT_SIZES + " distinct sizes"));
        if (fit.shape() != costModel.shape()) {
            throw invalid(costModel, "shape", costModel.shape(), "the best fit to its points is " + fit.shape());
        }
        if (costModel.coefficients().size() != COEFFICIENTS) {
            throw invalid(costModel, "coefficients", costModel.coefficients(), "must be base and slope");
        }
        requireEqual(costModel, "coefficients[0]", costModel.coefficients().get(0), fit.base());
        requireEqual(costModel, "coefficients[1]", costModel.coefficients().get(1), fit.slope());
        requireEqual(costModel, "residual", costModel.residual(), fit.residual());
    }

    private void validateDerived(CostModel costModel) throws InvalidConfigurationException {
        requirePresent(costModel, "arithmetic", costModel.arithmetic());
        for (Map.Entry<String, Object> runValues : Map.<String, Object>of(
                        "sizes", costModel.sizes(),
                        "values", costModel.values(),
                        "coefficients", costModel.coefficients())
                .entrySet()) {
            if (!((List<?>) runValues.getValue()).isEmpty()) {
                throw invalid(
                        costModel, runValues.getKey(), runValues.getValue(), "must be empty for a derived cost model");
            }
        }
        if (costModel.command() != null
                || costModel.date() != null
                || costModel.commit() != null
                || costModel.residual() != null) {
            throw invalid(
                    costModel, "command", costModel.command(), "a derived cost model must have no run and no residual");
        }
    }

    private void validateFigures(CostModel costModel, CostModel evaluated) throws InvalidConfigurationException {
        requireEqual(costModel, "figure", costModel.figure(), evaluated.figure());
        if (costModel.budget() != null) {
            requireEqual(
                    costModel,
                    "budget.value",
                    costModel.budget().value(),
                    evaluated.budget().value());
        }
        requireEqual(costModel, "needOverHave", costModel.utilization(), evaluated.utilization());
        for (Map.Entry<Scenario, DerivedValue> scenario : costModel.scenarios().entrySet()) {
            double expected = evaluated.scenarios().get(scenario.getKey()).value();
            requireEqual(
                    costModel,
                    "occasions." + scenario.getKey() + ".value",
                    scenario.getValue().value(),
                    expected);
        }
    }

    private void requireEqual(CostModel costModel, String key, Double actual, Double expected)
            throws InvalidConfigurationException {
        boolean equal = (actual == null || expected == null)
                ? Objects.equals(actual, expected)
                : Math.abs(actual - expected) <= RELATIVE_TOLERANCE * Math.max(Math.abs(expected), RELATIVE_TOLERANCE);
        if (!equal) {
            throw invalid(costModel, key, actual, "expected from the other values: " + expected);
        }
    }

    private void requirePresent(CostModel costModel, String key, Object value) throws InvalidConfigurationException {
        if (value == null || value.equals("")) {
            throw invalid(costModel, key, value, "missing");
        }
    }

    private InvalidConfigurationException invalid(CostModel costModel, String key, Object value, String reason) {
        return new InvalidConfigurationException(
                file + ": " + costModel.id() + "." + key + ": " + value + ": " + reason);
    }
}
