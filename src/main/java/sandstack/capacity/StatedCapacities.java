package sandstack.capacity;

import java.util.List;

/**
 * What is stated for each machine kind and for all others.
 *
 * @param others for the kinds that are not in the list
 * @param byKind by the position that server lists give as the kind
 */
public record StatedCapacities(StatedCapacity others, List<StatedCapacity> byKind) {
    /** Nothing is stated of any kind. */
    public static final StatedCapacities NONE = new StatedCapacities(StatedCapacity.NOTHING, List.of());

    /** Copies the list. */
    public StatedCapacities {
        byKind = List.copyOf(byKind);
    }

    /** What is stated for this machine kind; {@link #others} for one that is not in the list. */
    public StatedCapacity forKind(int machineKind) {
        return machineKind >= 0 && machineKind < byKind.size() ? byKind.get(machineKind) : others;
    }
}
