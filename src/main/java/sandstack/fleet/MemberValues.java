package sandstack.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Small values that each member publishes to all others. Only a member itself changes its values, and each change
 * increments their version. Of two versions from the same incarnation the higher one is the later, whether it arrived
 * in a probe response or by gossip. {@link #retainOnly} removes the values of incarnations that are not members.
 *
 * <p>Not thread-safe. A call costs O(1) plus a copy of one member's values.
 */
public final class MemberValues {
    /** Maximum number of values that one incarnation publishes at the same time. */
    public static final int MAX_VALUES = 16;
    /** Maximum length of a key and of a value, in characters. */
    public static final int MAX_LENGTH = 512;

    /**
     * The values of one incarnation.
     *
     * @param version incremented by each change, and by other changes of the state with which the values arrived; 0
     *     before the first
     */
    public record VersionedValues(long version, Map<String, String> entries) {
        static final VersionedValues EMPTY = new VersionedValues(0, Map.of());

        /**
         * Copies the entries.
         *
         * @throws IllegalArgumentException if there are too many, or one is too long
         */
        public VersionedValues {
            if (entries.size() > MAX_VALUES) {
                throw new IllegalArgumentException(entries.size() + " values, at most " + MAX_VALUES + " are allowed");
            }
            entries.forEach((key, value) -> {
                if (key.length() > MAX_LENGTH || value.length() > MAX_LENGTH) {
                    throw new IllegalArgumentException("key or value is longer than " + MAX_LENGTH + " characters");
                }
            });
            entries = Map.copyOf(entries);
        }
    }

    /**
     * The latest values received from one incarnation.
     *
     * @param receivedAtMicros time of arrival by the caller's clock
     */
    public record ReceivedValues(VersionedValues values, long receivedAtMicros) {}

    private final String selfId;
    private final Map<String, ReceivedValues> received = new HashMap<>();

    /** Creates an instance without values; {@code selfId} is the incarnation id of this member. */
    public MemberValues(String selfId) {
        this.selfId = selfId;
    }

    /**
     * Changes one of this member's own values.
     *
     * @param value the new value; null removes it
     * @return whether anything changed
     * @throws IllegalArgumentException if there would be too many values, or the key or the value is too long
     */
    public boolean publish(String key, String value, long nowMicros) {
        VersionedValues own = values(selfId);
        Map<String, String> entries = new TreeMap<>(own.entries());
        boolean unchanged = value == null ? entries.remove(key) == null : value.equals(entries.put(key, value));
        if (unchanged) {
            return false;
        }
        received.put(selfId, new ReceivedValues(new VersionedValues(own.version() + 1, entries), nowMicros));
        return true;
    }

    /** The latest values of an incarnation; empty if none have arrived. */
    public VersionedValues values(String id) {
        ReceivedValues latest = received.get(id);
        return latest == null ? VersionedValues.EMPTY : latest.values();
    }

    /** The latest values of an incarnation with their time of arrival; null if none have arrived. */
    public ReceivedValues received(String id) {
        return received.get(id);
    }

    /**
     * Stores values that another member has published, unless the stored version is the same or a later one.
     *
     * @return whether they were stored
     */
    public boolean accept(String id, VersionedValues update, long nowMicros) {
        if (id.equals(selfId) || update.version() <= values(id).version()) {
            return false;
        }
        received.put(id, new ReceivedValues(update, nowMicros));
        return true;
    }

    /** Removes the values of all incarnations except {@code ids} and this member. */
    public void retainOnly(Collection<String> ids) {
        received.keySet().removeIf(id -> !id.equals(selfId) && !ids.contains(id));
    }
}
