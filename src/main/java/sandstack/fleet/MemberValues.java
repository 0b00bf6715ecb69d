package sandstack.fleet;

import java.util.Collection;
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
    public static final int MAX_VALUES = 16;
    /** Characters of a key and of a value. */
    public static final int MAX_LENGTH = 512;

    /**
     * What one life tells.
     *
     * @param version of its last change
     */
    public record VersionedValues(long version, Map<String, String> entries) {
        static final VersionedValues EMPTY = new VersionedValues(0, Map.of());

        /** Copies the values; an {@link IllegalArgumentException} where they are too many or too long. */
        public VersionedValues {
            if (entries.size() > MAX_VALUES) {
                throw new IllegalArgumentException(entries.size() + " values, " + MAX_VALUES + " at most");
            }
            entries.forEach((key, value) -> {
                if (key.length() > MAX_LENGTH || value.length() > MAX_LENGTH) {
                    throw new IllegalArgumentException("a value longer than " + MAX_LENGTH + " characters");
                }
            });
            entries = Map.copyOf(entries);
        }
    }

    /**
     * A value as it was last told.
     *
     * @param receivedAtMicros when it came here, of the caller's clock; a later one is fresher news, not a later change
     */
    public record ReceivedValues(VersionedValues values, long receivedAtMicros) {}

    private final String selfId;
    private final Map<String, ReceivedValues> received = new HashMap<>();

    /** Creates an empty table; its own values are those of the incarnation with this id. */
    public MemberValues(String selfId) {
        this.selfId = selfId;
    }

    /** Changes one of this member's own values; null takes it away. Returns false where nothing changes. */
    public boolean publish(String key, String value, long nowMicros) {
        VersionedValues own = values(selfId);
        Map<String, String> entries = new TreeMap<>(own.entries());
        if (value == null ? entries.remove(key) == null : value.equals(entries.put(key, value))) {
            return false;
        }
        received.put(selfId, new ReceivedValues(new VersionedValues(own.version() + 1, entries), nowMicros));
        return true;
    }

    /** What a life tells; nothing where it has told nothing. */
    public VersionedValues values(String id) {
        ReceivedValues latest = received.get(id);
        return latest == null ? VersionedValues.EMPTY : latest.values();
    }

    /** The same with the moment at which it came; null where nothing has come. */
    public ReceivedValues received(String id) {
        return received.get(id);
    }

    /** A state came in; returns whether it is later than what was known. Nobody else changes this one's own. */
    public boolean accept(String id, VersionedValues update, long nowMicros) {
        if (id.equals(selfId) || update.version() <= values(id).version()) {
            return false;
        }
        received.put(id, new ReceivedValues(update, nowMicros));
        return true;
    }

    /** Forgets all but these, and this one. */
    public void retainOnly(Collection<String> ids) {
        received.keySet().removeIf(id -> !id.equals(selfId) && !ids.contains(id));
    }
}
