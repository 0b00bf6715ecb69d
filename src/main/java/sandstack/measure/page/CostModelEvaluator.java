package sandstack.measure.page;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.FittedModel;

/**
 * Evaluates all derived figures of cost models: the planned size, the figure at that size, the budget, the utilization
 * and the cost in each scenario. Formulas may refer to planning numbers, to {@code base}, {@code slope} and
 * {@code figure} of the same model, and by an id in brackets to the figure of a preceding model.
 */
final class CostModelEvaluator {
    private final String file;
    private final Plan plan;

    /** Figures of the models evaluated so far, by their id in brackets. */
    private final Map<String, Double> figures = new HashMap<>();

    private CostModelEvaluator(String file, Plan plan) {
        this.file = file;
        this.plan = plan;
    }

    /**
     * Returns copies of the cost models with all figures evaluated.
     *
     * @param file name of the file, for error messages
     */
    static CostModels evaluateAll(String file, Plan plan, CostModels costModels) throws InvalidConfigurationException {
        CostModelEvaluator evaluator = new CostModelEvaluator(file, plan);
        List<CostModel> evaluated = new ArrayList<>();
        for (CostModel costModel : costModels.models()) {
            evaluated.add(evaluator.evaluate(costModel));
        }
        return new CostModels(evaluated);
    }

    private CostModel evaluate(CostModel stale) throws InvalidConfigurationException {
        CostModel costModel = stale.withSize(plan.sizeOf(stale.per()).orElse(stale.size()));
        String key = file + ": " + costModel.id();
        Map<String, Double> variables = new HashMap<>();
        double figure = costModel.origin().hasRun()
                ? extrapolate(key, costModel, variables)
                : evaluateFormula(key, costModel.arithmetic(), variables);
        variables.put("figure", figure);
        figures.put("[" + costModel.id() + "]", figure);
        DerivedValue budget = evaluateBudget(key, costModel.budget(), variables);
        return costModel.withFigures(figure, budget, evaluateScenarios(key, costModel, variables));
    }

    private DerivedValue evaluateBudget(String key, DerivedValue budget, Map<String, Double> variables)
            throws InvalidConfigurationException {
        if (budget == null) {
            return null;
        }
        DerivedValue evaluated = budget.withValue(evaluateFormula(key + ".budget", budget.arithmetic(), variables));
        if (!(evaluated.value() > 0)) {
            throw new InvalidConfigurationException(key + ".budget: " + evaluated.value() + ": must be greater than 0");
        }
        return evaluated;
    }

    private Map<Scenario, DerivedValue> evaluateScenarios(
            String key, CostModel costModel, Map<String, Double> variables) throws InvalidConfigurationException {
        Map<Scenario, DerivedValue> demands = new EnumMap<>(Scenario.class);
        for (Map.Entry<Scenario, DerivedValue> demand : costModel.scenarios().entrySet()) {
            String arithmetic = demand.getValue().arithmetic();
            double value = evaluateFormula(key + ".occasions." + demand.getKey(), arithmetic, variables);
            demands.put(demand.getKey(), demand.getValue().withValue(value));
        }
        return demands;
    }

    private static double extrapolate(String key, CostModel costModel, Map<String, Double> variables)
            throws InvalidConfigurationException {
        if (costModel.coefficients().size() != 2 || costModel.shape() == null) {
            throw new InvalidConfigurationException(
                    key + ".coefficients: " + costModel.coefficients() + ": must be base and slope, with a shape");
        }
        variables.put("base", costModel.coefficients().get(0));
        variables.put("slope", costModel.coefficients().get(1));
        return new FittedModel(costModel.shape(), variables.get("base"), variables.get("slope"), 0)
                .valueAt(costModel.size());
    }

    private double evaluateFormula(String key, String arithmetic, Map<String, Double> variables)
            throws InvalidConfigurationException {
        if (arithmetic == null) {
            throw new InvalidConfigurationException(key + ".arithmetic: missing");
        }
        try {
            return Formula.evaluate(arithmetic, name -> {
                Double value = variables.containsKey(name) ? variables.get(name) : figures.get(name);
                return value == null ? plan.valueOf(name) : value;
            });
        } catch (Formula.MalformedFormulaException e) {
            throw new InvalidConfigurationException(key + ".arithmetic: " + arithmetic + ": " + e.getMessage());
        }
    }
}
