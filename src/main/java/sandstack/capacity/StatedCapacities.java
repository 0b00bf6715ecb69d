package sandstack.capacity;

import java.util.List;

/**
 * Capacities that the operator states, by machine kind.
 *
 * @param defaultCapacity capacity of machine kinds that are not in {@code byKind}
 * @param byKind capacities, by the number of the machine kind in endpoint lists
 */
public record StatedCapacities(StatedCapacity defaultCapacity, List<StatedCapacity> byKind) {
    /** No capacity is stated for any machine kind. */
    public static final StatedCapacities NONE = new StatedCapacities(StatedCapacity.UNKNOWN, List.of());

    /** Copies {@code byKind}, so that later changes of the argument have no effect. */
    public StatedCapacities {
        byKind = List.copyOf(byKind);
    }

    /** The stated capacity of a machine kind, or {@link #defaultCapacity} for a kind without one. */
    public StatedCapacity forKind(int machineKind) {
        return machineKind >= 0 && machineKind < byKind.size() ? byKind.get(machineKind) : defaultCapacity;
    }
}
