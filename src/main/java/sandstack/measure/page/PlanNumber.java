package sandstack.measure.page;

import java.util.List;

/**
 * A planning number, such as the number of relays.
 *
 * @param name name as a variable in a {@link Formula}
 * @param value value in the unit
 * @param unit unit of the value
 * @param source how the value was obtained
 * @param meaning description on the page
 * @param arithmetic {@link Formula} of a {@link Source#DERIVED} number over preceding numbers; null for others
 * @param sizeOf quantities of which this number is the planned size; may be empty
 */
public record PlanNumber(
        String name, double value, String unit, Source source, String meaning, String arithmetic, List<String> sizeOf) {

    /** How a planning number was obtained. Constants are stored by name in the plan file. */
    public enum Source {
        /** Stated by the operators. */
        STATED,
        /** Current setting of the program or of its machine. */
        SETTING,
        /** Assumed until the actual number is known. */
        ASSUMED,
        /** Computed by a formula from preceding numbers. */
        DERIVED
    }

    /** Replaces a null list, which results from a missing key in the file, by an empty one. */
    public PlanNumber {
        sizeOf = sizeOf == null ? List.of() : List.copyOf(sizeOf);
    }

    PlanNumber withValue(double newValue) {
        return new PlanNumber(name, newValue, unit, source, meaning, arithmetic, sizeOf);
    }
}
