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

/** The tables of the page, by the names of their markers. */
final class CapacityTables {
    private static final String RECKONED = " (r)";
    private static final String FAR = " (x)";
    private static final String NONE = "-";
    private static final String MISSING = "missing";

    /** What the page answers for each role; bytes on the network count as messages. */
    private static final Set<Resource> ANSWERED =
            EnumSet.of(Resource.STATE, Resource.MESSAGES, Resource.PROCESSOR, Resource.MEMORY, Resource.DISK);

    private final Plan plan;
    private final Slopes slopes;

    CapacityTables(Plan plan, Slopes slopes) {
        this.plan = plan;
        this.slopes = slopes;
    }

    /** All tables; each role has two, one of its slopes and one of its needs at each occasion. */
    Map<String, String> all() throws InvalidConfigurationException {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("plan", planningNumbers());
        for (Role role : Role.values()) {
            String name = role.name().toLowerCase(Locale.ROOT).replace('_', '-');
            List<Slope> own =
                    slopes.slopes().stream().filter(s -> s.role() == role).toList();
            tables.put(name, slopesOf(own));
            tables.put(name + "-occasions", occasionsOf(own));
        }
        tables.put("order", order());
        tables.put("methods", methods());
        return tables;
    }

    private String planningNumbers() {
        MarkdownTable table = new MarkdownTable("number", "value", "from");
        for (PlanNumber number : plan.numbers()) {
            String from = number.source().name().toLowerCase(Locale.ROOT);
            table.row(
                    number.meaning(),
                    Quantity.text(number.value(), number.unit()),
                    number.arithmetic() == null ? from : from + ": `" + number.arithmetic() + "`");
        }
        return table.text();
    }

    private static String slopesOf(List<Slope> slopes) {
        MarkdownTable table =
                new MarkdownTable("cost", "slope", "shape", "at the size", "budget", "need over have", "carried by");
        for (Slope slope : slopes) {
            table.row(
                    what(slope),
                    curve(slope),
                    shape(slope),
                    figure(slope),
                    slope.budget() == null ? NONE : Quantity.text(slope.budget().value(), slope.unit()),
                    slope.needOverHave() == null ? NONE : ratio(slope.needOverHave()),
                    mechanism(slope));
        }
        for (String unknown : unknown(slopes)) {
            table.row(unknown, "not measured, not reckoned", NONE, NONE, NONE, NONE, NONE);
        }
        return table.text();
    }

    /** What a role has no slope of. */
    private static List<String> unknown(List<Slope> slopes) {
        Set<Resource> known = EnumSet.noneOf(Resource.class);
        slopes.forEach(s -> known.add(s.resource()));
        List<String> unknown = new ArrayList<>();
        for (Resource resource : ANSWERED) {
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

    private static String what(Slope slope) {
        return label(slope.resource()) + ": " + slope.title();
    }

    private static String mark(Slope slope) {
        if (!slope.isMeasured()) {
            return RECKONED;
        }
        return slope.isFarBeyondPoints() ? FAR : "";
    }

    private static String mechanism(Slope slope) {
        return slope.mechanism().equals(MISSING) ? "**" + MISSING + "**" : slope.mechanism();
    }

    /** The figure at the planned size, marked where nothing was measured. */
    private static String figure(Slope slope) {
        return Quantity.text(slope.figure(), slope.unit()) + mark(slope);
    }

    private static String shape(Slope slope) {
        String name = slope.shape().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return slope.origin().hasRun()
                ? name + String.format(Locale.ROOT, ", residual %.1f%%, to ", slope.residual() * 100) + largest(slope)
                : name;
    }

    private static String largest(Slope slope) {
        return Quantity.plain(
                slope.sizes().stream().mapToDouble(Double::doubleValue).max().orElse(0));
    }

    private static String curve(Slope slope) {
        if (!slope.origin().hasRun()) {
            return "`" + slope.arithmetic() + "`";
        }
        String base = Quantity.text(slope.coefficients().get(0), slope.unit());
        String rise = Quantity.text(slope.coefficients().get(1), slope.unit());
        return switch (slope.shape()) {
            case CONSTANT -> base;
            case LOGARITHMIC -> base + " + " + rise + " x ln(" + slope.per() + ")";
            case LINEAR -> base + " + " + rise + " x " + slope.per();
            case N_LOG_N -> base + " + " + rise + " x " + slope.per() + " x ln(" + slope.per() + ")";
            case SQUARE -> base + " + " + rise + " x " + slope.per() + " squared";
        };
    }

    private static String ratio(double needOverHave) {
        return Quantity.plain(needOverHave);
    }

    private static String occasionsOf(List<Slope> slopes) {
        List<String> heads = new ArrayList<>(List.of("cost"));
        for (Occasion occasion : Occasion.values()) {
            heads.add(occasion.title());
        }
        MarkdownTable table = new MarkdownTable(heads.toArray(String[]::new));
        for (Slope slope : slopes) {
            List<String> cells = new ArrayList<>(List.of(what(slope)));
            for (Occasion occasion : Occasion.values()) {
                cells.add(need(slope, slope.occasions().get(occasion)));
            }
            table.row(cells.toArray(String[]::new));
        }
        return table.text();
    }

    /** A need, and in bold over its budget where it is more than that. */
    private static String need(Slope slope, Reckoned need) {
        if (need == null) {
            return NONE;
        }
        boolean asMeasured = slope.isMeasured() && need.arithmetic().equals("figure");
        String text = Quantity.text(need.value(), slope.unit()) + (asMeasured ? mark(slope) : RECKONED);
        if (slope.budget() == null || need.value() <= slope.budget().value()) {
            return text;
        }
        return text + ", **" + ratio(need.value() / slope.budget().value()) + " times the budget**";
    }

    /**
     * A cost that exceeds its budget.
     *
     * @param size from which on it does; empty where the smallest already does
     */
    private record Breaking(Slope slope, OptionalDouble size) {
        /** The part of the planned size at which it breaks. */
        double part() {
            return size.orElse(0) / slope.size();
        }
    }

    /** Costs that exceed their budget at some occasion; first those that do at the smallest part of the planned size. */
    private String order() throws InvalidConfigurationException {
        BreakingPoint point = new BreakingPoint(plan, slopes);
        List<Breaking> breaking = new ArrayList<>();
        for (Slope slope : slopes.slopes()) {
            if (slope.worstNeedOverHave() > 1) {
                breaking.add(new Breaking(slope, point.of(slope)));
            }
        }
        breaking.sort(Comparator.comparing(Breaking::part));
        MarkdownTable table =
                new MarkdownTable("", "cost", "breaks at", "planned", "worst at", "need over have", "carried by");
        for (int i = 0; i < breaking.size(); i++) {
            Slope slope = breaking.get(i).slope();
            table.row(
                    Integer.toString(i + 1),
                    slope.role().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ", " + what(slope),
                    breaksAt(breaking.get(i)),
                    Quantity.plain(slope.size()) + " " + slope.per(),
                    worst(slope),
                    ratio(slope.worstNeedOverHave()) + mark(slope),
                    mechanism(slope));
        }
        return table.text();
    }

    private static String breaksAt(Breaking breaking) {
        if (breaking.size().isEmpty()) {
            return "the first" + mark(breaking.slope());
        }
        double size = Math.floor(breaking.size().getAsDouble());
        return Quantity.plain(size) + " " + breaking.slope().per() + mark(breaking.slope());
    }

    private static String worst(Slope slope) {
        double most = slope.figure();
        String at = "always";
        for (Occasion occasion : Occasion.values()) {
            Reckoned need = slope.occasions().get(occasion);
            if (need != null && need.value() > most) {
                most = need.value();
                at = occasion.title();
            }
        }
        return at;
    }

    private String methods() {
        MarkdownTable table = new MarkdownTable("series", "how", "command", "sizes and values", "run");
        for (Slope slope : slopes.slopes()) {
            table.row(
                    "`" + slope.id() + "`",
                    slope.method(),
                    slope.origin().hasRun() ? "`" + slope.command() + "`" : "reckoned",
                    slope.origin().hasRun() ? points(slope) : NONE,
                    slope.origin().hasRun() ? slope.date() + ", " + slope.commit() : NONE);
        }
        return table.text();
    }

    private static String points(Slope slope) {
        List<String> points = new ArrayList<>();
        for (int i = 0; i < slope.sizes().size(); i++) {
            points.add(Quantity.plain(slope.sizes().get(i)) + ": "
                    + Quantity.text(slope.values().get(i), slope.unit()));
        }
        return String.join("; ", points);
    }
}
