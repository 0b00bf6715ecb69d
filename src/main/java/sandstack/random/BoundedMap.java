package sandstack.random;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size: a new key beyond the bound evicts the one that was inserted first. Iterates in insertion
 * order, as its superclass does. Not safe for use by several threads; every call is O(1).
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxSize;

    /** Creates an empty map of at most this many keys. */
    public BoundedMap(int maxSize) {
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
