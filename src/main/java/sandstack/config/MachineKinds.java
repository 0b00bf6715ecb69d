package sandstack.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Assigns a position to each machine kind: first to those of the capacity file, then to others in the order in which
 * they first appear in endpoint lists. Kinds beyond {@value #MAX_KINDS} share the last position. O(kinds) per call; not
 * thread-safe.
 */
public final class MachineKinds {
    private static final int MAX_KINDS = 64;
    private final List<String> names;

    /**
     * Assigns the first positions, in the order of the list.
     *
     * @param statedNames names of the machine kinds for which the operator states capacities
     */
    public MachineKinds(List<String> statedNames) {
        names = new ArrayList<>(statedNames);
    }

    /** The name of the kind at this position; empty if there is none. */
    String name(int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "";
    }

    /** The position of this kind; assigns the next one if the kind is new. */
    int indexOf(String model) {
        int index = names.indexOf(model);
        if (index >= 0) {
            return index;
        }
        if (names.size() < MAX_KINDS) {
            names.add(model);
        }
        return names.size() - 1;
    }
}
