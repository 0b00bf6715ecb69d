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

/** Generates the tables of the page, by the names of their markers. */
final class CapacityTables {
    private static final String DERIVED_SUFFIX = " (r)";
    private static final String EXTRAPOLATED_SUFFIX = " (x)";
    private static final String NONE = "-";
    private static final String MISSING = "missing";

    /** Resources that the page reports for each role; bytes on the network cover messages. */
    private static final Set<Resource> REPORTED_RESOURCES =
            EnumSet.of(Resource.STATE, Resource.MESSAGES, Resource.PROCESSOR, Resource.MEMORY, Resource.DISK);

    private final Plan plan;
    private final CostModels costModels;

    CapacityTables(Plan plan, CostModels costModels) {
        this.plan = plan;
        this.costModels = costModels;
    }

    /** All tables; each role has one of its costs and one of its costs in each scenario. */
    Map<String, String> all() throws InvalidConfigurationException {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("plan", planTable());
        for (Role role : Role.values()) {
            String name = role.name().toLowerCase(Locale.ROOT).replace('_', '-');
            List<CostModel> ofRole =
                    costModels.models().stream().filter(s -> s.role() == role).toList();
            tables.put(name, costTable(ofRole));
            tables.put(name + "-occasions", scenarioTable(ofRole));
        }
        tables.put("order", breakingPointTable());
        tables.put("methods", methodTable());
        return tables;
    }

    private String planTable() {
        MarkdownTable table = new MarkdownTable("number", "value", "from");
        for (PlanNumber number : plan.numbers()) {
            String from = number.source().name().toLowerCase(Locale.ROOT);
            table.row(
                    number.meaning(),
                    Quantity.format(number.value(), number.unit()),
                    number.arithmetic() == null ? from : from + ": `" + number.arithmetic() + "`");
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
                            : Quantity.format(costModel.budget().value(), costModel.unit()),
                    costModel.utilization() == null ? NONE : ratio(costModel.utilization()),
                    mechanism(costModel));
        }
        for (String unknown : resourcesWithoutModel(costModels)) {
            table.row(unknown, "not measured, not reckoned", NONE, NONE, NONE, NONE, NONE);
        }
        return table.text();
    }

    /** Reported resources of which a role has no cost model. */
    private static List<String> resourcesWithoutModel(List<CostModel> costModels) {
        Set<Resource> known = EnumSet.noneOf(Resource.class);
        costModels.forEach(s -> known.add(s.resource()));
        List<String> unknown = new ArrayList<>();
        for (Resource resource : REPORTED_RESOURCES) {
            boolean throughBytes = resource == Resource.MESSAGES && known.contains(Resource.NETWORK);
            if (!known.contains(resource) && !throughBytes) {
                unknown.add(label(resource));
            }
        }
        return unknown;
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

    /** The figure at the planned size, with a suffix if it was derived or extrapolated far. */
    private static String figure(CostModel costModel) {
        return Quantity.format(costModel.figure(), costModel.unit()) + suffix(costModel);
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
        return Quantity.formatNumber(costModel.sizes().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0));
    }

    private static String formula(CostModel costModel) {
        if (!costModel.origin().hasRun()) {
            return "`" + costModel.arithmetic() + "`";
        }
        String base = Quantity.format(costModel.coefficients().get(0), costModel.unit());
        String slope = Quantity.format(costModel.coefficients().get(1), costModel.unit());
        return switch (costModel.shape()) {
            case CONSTANT -> base;
            case LOGARITHMIC -> base + " + " + slope + " x ln(" + costModel.per() + ")";
            case LINEAR -> base + " + " + slope + " x " + costModel.per();
            case N_LOG_N -> base + " + " + slope + " x " + costModel.per() + " x ln(" + costModel.per() + ")";
            case SQUARE -> base + " + " + slope + " x " + costModel.per() + " squared";
        };
    }

    private static String ratio(double utilization) {
        return Quantity.formatNumber(utilization);
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

    /** The cost in a scenario, and in bold its multiple of the budget if it exceeds that. */
    private static String demand(CostModel costModel, DerivedValue demand) {
        if (demand == null) {
            return NONE;
        }
        boolean asMeasured = costModel.isMeasured() && demand.arithmetic().equals("figure");
        String text =
                Quantity.format(demand.value(), costModel.unit()) + (asMeasured ? suffix(costModel) : DERIVED_SUFFIX);
        if (costModel.budget() == null || demand.value() <= costModel.budget().value()) {
            return text;
        }
        return text + ", **" + ratio(demand.value() / costModel.budget().value()) + " times the budget**";
    }

    /**
     * A cost that exceeds its budget.
     *
     * @param size from which it does; empty if every size does
     */
    private record ExceededBudget(CostModel costModel, OptionalDouble size) {
        /** The size divided by the planned size. */
        double fractionOfPlan() {
            return size.orElse(0) / costModel.size();
        }
    }

    /**
     * Costs that exceed their budget in some scenario, ordered by the fraction of the planned size at which they do.
     */
    private String breakingPointTable() throws InvalidConfigurationException {
        BreakingPoint point = new BreakingPoint(plan, costModels);
        List<ExceededBudget> exceeded = new ArrayList<>();
        for (CostModel costModel : costModels.models()) {
            if (costModel.maxUtilization() > 1) {
                exceeded.add(new ExceededBudget(costModel, point.find(costModel)));
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
                    Quantity.formatNumber(costModel.size()) + " " + costModel.per(),
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
        return Quantity.formatNumber(size) + " " + exceeded.costModel().per() + suffix(exceeded.costModel());
    }

    private static String worstScenario(CostModel costModel) {
        double most = costModel.figure();
        String at = "always";
        for (Scenario scenario : Scenario.values()) {
            DerivedValue demand = costModel.scenarios().get(scenario);
            if (demand != null && demand.value() > most) {
                most = demand.value();
                at = scenario.title();
            }
        }
        return at;
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
            points.add(Quantity.formatNumber(costModel.sizes().get(i)) + ": "
                    + Quantity.format(costModel.values().get(i), costModel.unit()));
        }
        return String.join("; ", points);
    }
}
