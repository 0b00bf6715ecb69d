package sandstack.measure.page;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;

/** Generates the tables of the page from plan and cost models. */
final class CapacityTables {
    /** Marks values that a formula or model yields rather than a measurement. */
    private static final String DERIVED_SUFFIX = " (r)";

    /** Marks values extrapolated far beyond the measured sizes. */
    private static final String EXTRAPOLATED_SUFFIX = " (x)";

    private static final String NONE = "-";

    /** Mechanism of a cost that no mechanism handles; printed in bold. */
    private static final String MISSING = "missing";

    /** Resources that the page reports for each role; a model of NETWORK bytes also covers MESSAGES. */
    private static final Set<Resource> REPORTED_RESOURCES =
            EnumSet.of(Resource.STATE, Resource.MESSAGES, Resource.PROCESSOR, Resource.MEMORY, Resource.DISK);

    private final Plan plan;
    private final CostModels costModels;

    CapacityTables(Plan plan, CostModels costModels) {
        this.plan = plan;
        this.costModels = costModels;
    }

    /**
     * All tables by the names of their markers on the page. Each role has a table of its costs and a table of its costs
     * in each scenario.
     */
    Map<String, String> all() throws InvalidConfigurationException {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("plan", planTable());
        for (Role role : Role.values()) {
            String name = role.name().toLowerCase(Locale.ROOT).replace('_', '-');
            List<CostModel> modelsOfRole = costModels.models().stream()
                    .filter(model -> model.role() == role)
                    .toList();
            tables.put(name, costTable(modelsOfRole));
            tables.put(name + "-occasions", scenarioTable(modelsOfRole));
        }
        tables.put("order", breakingPointTable());
        tables.put("methods", methodTable());
        return tables;
    }

    private String planTable() {
        MarkdownTable table = new MarkdownTable("number", "value", "from");
        for (PlanNumber number : plan.numbers()) {
            String source = number.source().name().toLowerCase(Locale.ROOT);
            table.row(
                    number.meaning(),
                    QuantityFormat.format(number.value(), number.unit()),
                    number.arithmetic() == null ? source : source + ": `" + number.arithmetic() + "`");
        }
        return table.text();
    }

    private static String costTable(List<CostModel> costModels) {
        MarkdownTable table =
                new MarkdownTable("cost", "slope", "shape", "at the size", "budget", "need over have", "carried by");
        for (CostModel costModel : costModels) {
            table.row(
                    costName(costModel),
                    formula(costModel),
                    shape(costModel),
                    figure(costModel),
                    costModel.budget() == null
                            ? NONE
                            : QuantityFormat.format(costModel.budget().value(), costModel.unit()),
                    costModel.utilization() == null ? NONE : ratio(costModel.utilization()),
                    mechanism(costModel));
        }
        for (String resource : resourcesWithoutModel(costModels)) {
            table.row(resource, "not measured, not reckoned", NONE, NONE, NONE, NONE, NONE);
        }
        return table.text();
    }

    /** Labels of the reported resources for which a role has no cost model. */
    private static List<String> resourcesWithoutModel(List<CostModel> costModels) {
        Set<Resource> modelled = EnumSet.noneOf(Resource.class);
        costModels.forEach(model -> modelled.add(model.resource()));
        List<String> missing = new ArrayList<>();
        for (Resource resource : REPORTED_RESOURCES) {
            boolean coveredByNetwork = resource == Resource.MESSAGES && modelled.contains(Resource.NETWORK);
            if (!modelled.contains(resource) && !coveredByNetwork) {
                missing.add(label(resource));
            }
        }
        return missing;
    }

    private static String label(Resource resource) {
        return resource.name().toLowerCase(Locale.ROOT);
    }

    private static String costName(CostModel costModel) {
        return label(costModel.resource()) + ": " + costModel.title();
    }

    private static String suffix(CostModel costModel) {
        if (!costModel.isMeasured()) {
            return DERIVED_SUFFIX;
        }
        return costModel.isExtrapolatedFar() ? EXTRAPOLATED_SUFFIX : "";
    }

    private static String mechanism(CostModel costModel) {
        return costModel.mechanism().equals(MISSING) ? "**" + MISSING + "**" : costModel.mechanism();
    }

    /** The cost at the planned size, with a suffix if it is not measured or extrapolated far. */
    private static String figure(CostModel costModel) {
        return QuantityFormat.format(costModel.figure(), costModel.unit()) + suffix(costModel);
    }

    private static String shape(CostModel costModel) {
        String name = costModel.shape().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return costModel.origin().hasRun()
                ? name
                        + String.format(Locale.ROOT, ", residual %.1f%%, to ", costModel.residual() * 100)
                        + largestMeasuredSize(costModel)
                : name;
    }

    private static String largestMeasuredSize(CostModel costModel) {
        return QuantityFormat.formatNumber(costModel.sizes().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0));
    }

    private static String formula(CostModel costModel) {
        if (!costModel.origin().hasRun()) {
            return "`" + costModel.arithmetic() + "`";
        }
        String base = QuantityFormat.format(costModel.coefficients().get(0), costModel.unit());
        String slope = QuantityFormat.format(costModel.coefficients().get(1), costModel.unit());
        return switch (costModel.shape()) {
            case CONSTANT -> base;
            case LOGARITHMIC -> base + " + " + slope + " x ln(" + costModel.per() + ")";
            case LINEAR -> base + " + " + slope + " x " + costModel.per();
            case N_LOG_N -> base + " + " + slope + " x " + costModel.per() + " x ln(" + costModel.per() + ")";
            case SQUARE -> base + " + " + slope + " x " + costModel.per() + " squared";
        };
    }

    private static String ratio(double utilization) {
        return QuantityFormat.formatNumber(utilization);
    }

    private static String scenarioTable(List<CostModel> costModels) {
        List<String> headers = new ArrayList<>(List.of("cost"));
        for (Scenario scenario : Scenario.values()) {
            headers.add(scenario.title());
        }
        MarkdownTable table = new MarkdownTable(headers.toArray(String[]::new));
        for (CostModel costModel : costModels) {
            List<String> cells = new ArrayList<>(List.of(costName(costModel)));
            for (Scenario scenario : Scenario.values()) {
                cells.add(demand(costModel, costModel.scenarios().get(scenario)));
            }
            table.row(cells.toArray(String[]::new));
        }
        return table.text();
    }

    /** The cost in a scenario; if it exceeds the budget, also its multiple of the budget in bold. */
    private static String demand(CostModel costModel, DerivedValue demand) {
        if (demand == null) {
            return NONE;
        }
        boolean asMeasured = costModel.isMeasured() && demand.arithmetic().equals("figure");
        String text = QuantityFormat.format(demand.value(), costModel.unit())
                + (asMeasured ? suffix(costModel) : DERIVED_SUFFIX);
        if (costModel.budget() == null || demand.value() <= costModel.budget().value()) {
            return text;
        }
        return text + ", **" + ratio(demand.value() / costModel.budget().value()) + " times the budget**";
    }

    /**
     * A cost that exceeds its budget at the planned size in some scenario.
     *
     * @param size largest size within the budget; empty if a size of one already exceeds it
     */
    private record ExceededBudget(CostModel costModel, OptionalDouble size) {
        /** The size divided by the planned size; 0 if a size of one already exceeds the budget. */
        double fractionOfPlan() {
            return size.orElse(0) / costModel.size();
        }
    }

    /**
     * Table of the costs that exceed their budget in some scenario, ordered by the fraction of the planned size at
     * which they do so.
     */
    private String breakingPointTable() throws InvalidConfigurationException {
        BreakingPoint breakingPoint = new BreakingPoint(plan, costModels);
        List<ExceededBudget> exceeded = new ArrayList<>();
        for (CostModel costModel : costModels.models()) {
            if (costModel.maxUtilization() > 1) {
                exceeded.add(new ExceededBudget(costModel, breakingPoint.find(costModel)));
            }
        }
        exceeded.sort(Comparator.comparing(ExceededBudget::fractionOfPlan));
        MarkdownTable table =
                new MarkdownTable("", "cost", "breaks at", "planned", "worst at", "need over have", "carried by");
        for (int i = 0; i < exceeded.size(); i++) {
            CostModel costModel = exceeded.get(i).costModel();
            table.row(
                    Integer.toString(i + 1),
                    costModel.role().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ", " + costName(costModel),
                    breaksAt(exceeded.get(i)),
                    QuantityFormat.formatNumber(costModel.size()) + " " + costModel.per(),
                    worstScenario(costModel),
                    ratio(costModel.maxUtilization()) + suffix(costModel),
                    mechanism(costModel));
        }
        return table.text();
    }

    private static String breaksAt(ExceededBudget exceeded) {
        if (exceeded.size().isEmpty()) {
            return "the first" + suffix(exceeded.costModel());
        }
        double size = Math.floor(exceeded.size().getAsDouble());
        return QuantityFormat.formatNumber(size) + " " + exceeded.costModel().per() + suffix(exceeded.costModel());
    }

    private static String worstScenario(CostModel costModel) {
        double maxDemand = costModel.figure();
        String worst = "always";
        for (Scenario scenario : Scenario.values()) {
            DerivedValue demand = costModel.scenarios().get(scenario);
            if (demand != null && demand.value() > maxDemand) {
                maxDemand = demand.value();
                worst = scenario.title();
            }
        }
        return worst;
    }

    private String methodTable() {
        MarkdownTable table = new MarkdownTable("series", "how", "command", "sizes and values", "run");
        for (CostModel costModel : costModels.models()) {
            table.row(
                    "`" + costModel.id() + "`",
                    costModel.method(),
                    costModel.origin().hasRun() ? "`" + costModel.command() + "`" : "reckoned",
                    costModel.origin().hasRun() ? points(costModel) : NONE,
                    costModel.origin().hasRun() ? costModel.date() + ", " + costModel.commit() : NONE);
        }
        return table.text();
    }

    private static String points(CostModel costModel) {
        List<String> points = new ArrayList<>();
        for (int i = 0; i < costModel.sizes().size(); i++) {
            points.add(QuantityFormat.formatNumber(costModel.sizes().get(i)) + ": "
                    + QuantityFormat.format(costModel.values().get(i), costModel.unit()));
        }
        return String.join("; ", points);
    }
}
