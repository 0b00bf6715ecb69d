package sandstack.measure.page;

import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;

/** Finds the size from which a cost exceeds its budget in some scenario, with all other numbers as planned. */
final class BreakingPoint {
    private static final int BISECTION_STEPS = 40;

    private final Plan plan;
    private final CostModels costModels;

    BreakingPoint(Plan plan, CostModels costModels) {
        this.plan = plan;
        this.costModels = costModels;
    }

    /** The largest size within the budget; empty if the planned size is within it, or a size of one exceeds it. */
    OptionalDouble find(CostModel costModel) throws InvalidConfigurationException {
        double within = 1;
        double beyond = costModel.size();
        if (exceeds(costModel, within) || !exceeds(costModel, beyond)) {
            return OptionalDouble.empty();
        }
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = Math.sqrt(within * beyond);
            if (exceeds(costModel, middle)) {
                beyond = middle;
            } else {
                within = middle;
            }
        }
        return OptionalDouble.of(within);
    }

    private boolean exceeds(CostModel costModel, double size) throws InvalidConfigurationException {
        Plan other = plan.withSize(costModel.per(), size);
        CostModels evaluated = CostModelEvaluator.evaluateAll("at another size", other, costModels);
        return evaluated.find(costModel.id()).orElseThrow().maxUtilization() > 1;
    }
}
