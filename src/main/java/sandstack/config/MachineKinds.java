package sandstack.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The positions of machine kinds: those that the operator names come first, others as lists bring them. One thread at
 * a time; O(kinds) a call, and those past {@value #MOST} share the last place, whatever discovery tells.
 */
public final class MachineKinds {
    private static final int MOST = 64;
    private final List<String> names;

    /**
     * Creates a list of kinds whose first positions are given, in this order.
     *
     * @param named the kinds that the operator has named
     */
    public MachineKinds(List<String> named) {
        names = new ArrayList<>(named);
    }

    /** The kind at this position. */
    String name(int kind) {
        return kind >= 0 && kind < names.size() ? names.get(kind) : "";
    }

    int of(String model) {
        int kind = names.indexOf(model);
        if (kind >= 0) {
            return kind;
        }
        if (names.size() < MOST) {
            names.add(model);
        }
        return names.size() - 1;
    }
}
