package sandstack.measure.page;

import java.util.List;

/**
 * A number to plan with.
 *
 * @param name by which arithmetic goes by it
 * @param meaning in words, for the page
 * @param arithmetic by which a {@link Source#DERIVED} number follows from the ones before it; null for others
 * @param sizeOf what series may count whose planned size this is; empty where it is no size
 */
public record PlanNumber(
        String name, double value, String unit, Source source, String meaning, String arithmetic, List<String> sizeOf) {

    /** Where a number comes from. */
    public enum Source {
        /** The operators state it. */
        STATED,
        /** The program or its machine is set to it today. */
        SETTING,
        /** Nobody states it; taken so that something can be reckoned, to be replaced once it is known. */
        ASSUMED,
        /** It follows from numbers before it. */
        DERIVED
    }

    /** Keeps a copy of the list; one that is missing is empty. */
    public PlanNumber {
        sizeOf = sizeOf == null ? List.of() : List.copyOf(sizeOf);
    }

    PlanNumber withValue(double other) {
        return new PlanNumber(name, other, unit, source, meaning, arithmetic, sizeOf);
    }
}
