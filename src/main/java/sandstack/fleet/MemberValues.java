package sandstack.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Small values that each member tells all. Only a member itself changes its own, and each change raises its number, so
 * of two states of one life the one with the higher number is the later, whatever way it came. Nothing of it outlasts
 * the life that told it: what must not be lost does not belong here.
 *
 * <p>One thread; O(1) a call but for the copy of a member's few values.
 */
public final class MemberValues {
    /** Values that one incarnation may tell at the same time. */
    public static final int MOST_KEYS = 16;
    /** Characters of a key and of a value. */
    public static final int LONGEST = 512;

    /**
     * What one life tells.
     *
     * @param number of its last change
     */
    public record State(long number, Map<String, String> values) {
        static final State NONE = new State(0, Map.of());

        /** Copies the values; an {@link IllegalArgumentException} where they are too many or too long. */
        public State {
            if (values.size() > MOST_KEYS) {
                throw new IllegalArgumentException(values.size() + " values, " + MOST_KEYS + " at most");
            }
            values.forEach((key, value) -> {
                if (key.length() > LONGEST || value.length() > LONGEST) {
                    throw new IllegalArgumentException("a value longer than " + LONGEST + " characters");
                }
            });
            values = Map.copyOf(values);
        }
    }

    /**
     * A value as it was last told.
     *
     * @param at when it came here, of the caller's clock; a later one is fresher news, not a later change
     */
    public record Held(State state, long at) {}

    private final String self;
    private final Map<String, Held> held = new HashMap<>();

    /** Creates an empty table; its own values are those of the incarnation with this id. */
    public MemberValues(String self) {
        this.self = self;
    }

    /** Changes one of this member's own values; null takes it away. Returns false where nothing changes. */
    public boolean tell(String key, String value, long now) {
        State mine = state(self);
        Map<String, String> values = new TreeMap<>(mine.values());
        if (value == null ? values.remove(key) == null : value.equals(values.put(key, value))) {
            return false;
        }
        held.put(self, new Held(new State(mine.number() + 1, values), now));
        return true;
    }

    /** What a life tells; nothing where it has told nothing. */
    public State state(String id) {
        Held h = held.get(id);
        return h == null ? State.NONE : h.state();
    }

    /** The same with the moment at which it came; null where nothing has come. */
    public Held held(String id) {
        return held.get(id);
    }

    /** A state came in; returns whether it is later than what was known. Nobody else changes this one's own. */
    public boolean heard(String id, State state, long now) {
        if (id.equals(self) || state.number() <= state(id).number()) {
            return false;
        }
        held.put(id, new Held(state, now));
        return true;
    }

    /** Forgets all but these, and this one. */
    public void keep(java.util.Collection<String> ids) {
        held.keySet().removeIf(id -> !id.equals(self) && !ids.contains(id));
    }
}
