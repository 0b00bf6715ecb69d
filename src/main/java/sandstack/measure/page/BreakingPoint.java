package sandstack.measure.page;

import java.util.OptionalDouble;
import sandstack.config.InvalidConfigurationException;

/** The smallest size at which a cost exceeds its budget at some occasion, all other numbers as planned. */
final class BreakingPoint {
    private static final int HALVINGS = 40;

    private final Plan plan;
    private final Slopes slopes;

    BreakingPoint(Plan plan, Slopes slopes) {
        this.plan = plan;
        this.slopes = slopes;
    }

    /** Empty where the planned size is within the budget, or a size of one exceeds it already. */
    OptionalDouble of(Slope slope) throws InvalidConfigurationException {
        double within = 1;
        double beyond = slope.size();
        if (exceeds(slope, within) || !exceeds(slope, beyond)) {
            return OptionalDouble.empty();
        }
        for (int i = 0; i < HALVINGS; i++) {
            double middle = Math.sqrt(within * beyond);
            if (exceeds(slope, middle)) {
                beyond = middle;
            } else {
                within = middle;
            }
        }
        return OptionalDouble.of(within);
    }

    private boolean exceeds(Slope slope, double size) throws InvalidConfigurationException {
        Plan other = plan.withSize(slope.per(), size);
        Slopes reckoned = Reckoning.of("at another size", other, slopes);
        return reckoned.find(slope.id()).orElseThrow().worstNeedOverHave() > 1;
    }
}
