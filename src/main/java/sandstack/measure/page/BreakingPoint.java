package sandstack.measure.page;

import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;

/**
 * Finds the largest size at which a cost is within its budget in every scenario. All other planning numbers keep their
 * planned values, except those derived from the size.
 */
final class BreakingPoint {
    private static final int BISECTION_STEPS = 40;

    private final Plan plan;
    private final CostModels costModels;

    BreakingPoint(Plan plan, CostModels costModels) {
        this.plan = plan;
        this.costModels = costModels;
    }

    /**
     * The largest size within the budget, found by bisection on a logarithmic scale. Empty if the planned size is
     * within the budget, or if a size of one exceeds it.
     */
    OptionalDouble find(CostModel costModel) throws InvalidConfigurationException {
        double withinBudget = 1;
        double aboveBudget = costModel.size();
        if (exceedsBudget(costModel, withinBudget) || !exceedsBudget(costModel, aboveBudget)) {
            return OptionalDouble.empty();
        }
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = Math.sqrt(withinBudget * aboveBudget);
            if (exceedsBudget(costModel, middle)) {
                aboveBudget = middle;
            } else {
                withinBudget = middle;
            }
        }
        return OptionalDouble.of(withinBudget);
    }

    private boolean exceedsBudget(CostModel costModel, double size) throws InvalidConfigurationException {
        Plan resizedPlan = plan.withSize(costModel.per(), size);
        CostModels evaluated = CostModelEvaluator.evaluateAll("plan with another size", resizedPlan, costModels);
        return evaluated.find(costModel.id()).orElseThrow().maxUtilization() > 1;
    }
}
