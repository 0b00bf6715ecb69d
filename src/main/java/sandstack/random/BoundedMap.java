package sandstack.random;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size: when a new key exceeds the bound, the key that was inserted first is evicted. Iterates in
 * insertion order. Not thread-safe; every call is O(1).
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxSize;

    /** Creates an empty map that holds at most this many keys. */
    public BoundedMap(int maxSize) {
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
