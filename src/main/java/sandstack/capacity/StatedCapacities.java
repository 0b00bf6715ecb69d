package sandstack.capacity;

import java.util.List;

/**
 * What an operator states of each machine kind.
 *
 * @param others for kinds that are not in {@code byKind}
 * @param byKind by the number of the kind in endpoint lists
 */
public record StatedCapacities(StatedCapacity others, List<StatedCapacity> byKind) {
    /** Nothing is stated of any kind. */
    public static final StatedCapacities NONE = new StatedCapacities(StatedCapacity.NOTHING, List.of());

    /** Copies the list. */
    public StatedCapacities {
        byKind = List.copyOf(byKind);
    }

    /** What is stated of this machine kind; {@link #others} for one that is not in the list. */
    public StatedCapacity forKind(int machineKind) {
        return machineKind >= 0 && machineKind < byKind.size() ? byKind.get(machineKind) : others;
    }
}
