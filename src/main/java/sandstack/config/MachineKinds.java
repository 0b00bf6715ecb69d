package sandstack.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Assigns positions to machine kinds: first to those that the operator names, then to others in the order in which
 * endpoint lists bring them. Kinds beyond {@value #MAX_KINDS} share the last position. O(kinds) per call; not
 * thread-safe.
 */
public final class MachineKinds {
    private static final int MAX_KINDS = 64;
    private final List<String> names;

    /**
     * Creates the positions, the first of which are given.
     *
     * @param statedNames the kinds that the operator has named
     */
    public MachineKinds(List<String> statedNames) {
        names = new ArrayList<>(statedNames);
    }

    /** The kind at this position; empty if there is none. */
    String name(int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "";
    }

    /** The position of this kind, which is added if it is new. */
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
