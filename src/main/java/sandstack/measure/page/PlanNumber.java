package sandstack.measure.page;

import java.util.List;

/**
 * A planning number.
 *
 * @param name variable in a {@link Formula}
 * @param value in the unit
 * @param meaning text on the page
 * @param arithmetic formula of a {@link Source#DERIVED} number, over numbers before it; null for others
 * @param sizeOf quantities of series of which this is the planned size; may be empty
 */
public record PlanNumber(
        String name, double value, String unit, Source source, String meaning, String arithmetic, List<String> sizeOf) {

    /** The source of a planning number. */
    public enum Source {
        /** Stated by the operators. */
        STATED,
        /** Current setting of the program or its machine. */
        SETTING,
        /** Placeholder until the number is known. */
        ASSUMED,
        /** Derived from numbers before it. */
        DERIVED
    }

    /** Copies the list; null becomes empty. */
    public PlanNumber {
        sizeOf = sizeOf == null ? List.of() : List.copyOf(sizeOf);
    }

    PlanNumber withValue(double newValue) {
        return new PlanNumber(name, newValue, unit, source, meaning, arithmetic, sizeOf);
    }
}
